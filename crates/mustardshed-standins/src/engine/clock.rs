//! The engine's clock, which may run faster than the wall clock.

use std::time;

use crate::unix_time;

/// Clock of an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineClock {
    start: time::Instant,
    start_unix_ms: u64,
    scale: f64,
}

impl EngineClock {
    /// Starts a clock that advances `scale` seconds per second of the wall clock.
    pub(super) fn start(scale: f64) -> Self {
        Self {
            start: time::Instant::now(),
            start_unix_ms: unix_time::now_ms(),
            scale,
        }
    }

    /// Returns the time since the start, on this clock.
    pub(super) fn now(&self) -> time::Duration {
        self.start.elapsed().mul_f64(self.scale)
    }

    /// Returns the wall-clock time in Unix milliseconds at `at_ms` milliseconds of this clock.
    pub(super) fn unix_ms(&self, at_ms: u64) -> u64 {
        self.start_unix_ms + (at_ms as f64 / self.scale) as u64
    }

    /// Returns the instant at which this clock reads `at`.
    pub(super) fn wall(&self, at: time::Duration) -> time::Instant {
        self.start + at.div_f64(self.scale)
    }
}
