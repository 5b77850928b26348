//! Pauses of the process, by which a signal may be handled long after it was sent.
//!
//! Load pattern addressed: a small machine stands still while the platform stops its entry. The
//! grace runs from the signal, not from the moment at which the entry notices it.

use std::time;

use crate::ids;

/// Interval at which a running process calls [`Pauses::tick`].
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time between two ticks from which on the process counts as paused in between.
const MIN_GAP: time::Duration = time::Duration::from_millis(400);
/// Time after a pause within which a signal that was sent during it is handled.
const HANDLING_TIME: time::Duration = time::Duration::from_millis(100);

/// When the process ran last, and its last pause.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    last_tick: ids::Timestamp,
    last_pause: Option<Pause>,
}

/// Time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Pause {
    began_at: ids::Timestamp,
    ended_at: ids::Timestamp,
}

impl Pauses {
    /// Creates the record of a process that runs at `now`.
    #[must_use]
    pub const fn new(now: ids::Timestamp) -> Self {
        Self {
            last_tick: now,
            last_pause: None,
        }
    }

    /// Records that the process runs.
    pub fn tick(&mut self, now: ids::Timestamp) {
        self.last_pause = self.pause_until(now).or(self.last_pause);
        self.last_tick = now;
    }

    /// Returns the earliest time at which a signal that is handled at `now` may have been sent, to
    /// within a tick.
    #[must_use]
    pub fn earliest_sent_at(&self, now: ids::Timestamp) -> ids::Timestamp {
        let pause = self.pause_until(now).or(self.last_pause);
        pause
            .filter(|pause| now.saturating_sub(pause.ended_at) <= HANDLING_TIME)
            .map_or(now, |pause| pause.began_at)
    }

    /// Returns the pause that ends at `now`, if there is one.
    fn pause_until(&self, now: ids::Timestamp) -> Option<Pause> {
        let is_paused = now.saturating_sub(self.last_tick) >= MIN_GAP;
        is_paused.then_some(Pause {
            began_at: self.last_tick,
            ended_at: now,
        })
    }
}
