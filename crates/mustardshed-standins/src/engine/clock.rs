//! The engine's clock, which may run faster than the wall clock.

use std::time;

/// Clock of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineClock {
    start: time::Instant,
    scale: f64,
}

impl EngineClock {
    /// Starts a clock that counts `scale` seconds in a second of the wall clock.
    pub(super) fn start(scale: f64) -> Self {
        Self {
            start: time::Instant::now(),
            scale,
        }
    }

    /// Returns the time since the start on this clock.
    pub(super) fn now(&self) -> time::Duration {
        self.start.elapsed().mul_f64(self.scale)
    }

    /// Returns when the wall clock reaches `at` of this clock.
    pub(super) fn wall(&self, at: time::Duration) -> time::Instant {
        self.start + at.div_f64(self.scale)
    }
}
