//! How fast those who wait are served.

use std::time;

use crate::ids;

/// Weight of the latest interval is one over this.
const SMOOTHING: u32 = 4;

/// Mean interval between two requests that were served after a wait.
#[derive(Debug, Default)]
pub(super) struct WaitEstimate {
    served_at: Option<ids::Timestamp>,
    interval: time::Duration,
}

impl WaitEstimate {
    /// Notes that a request was served; `waited` tells whether it had to wait.
    pub(super) fn served(&mut self, waited: bool, now: ids::Timestamp) {
        if let (true, Some(at)) = (waited, self.served_at) {
            let latest = now.saturating_sub(at);
            self.interval = (self.interval * (SMOOTHING - 1) + latest) / SMOOTHING;
        }
        self.served_at = Some(now);
    }

    /// Notes that nobody waits, so that idle time does not count as slow service.
    pub(super) const fn idle(&mut self) {
        self.served_at = None;
    }

    /// Estimates the wait behind `ahead` others.
    pub(super) fn estimate(&self, ahead: usize) -> time::Duration {
        self.interval
            .saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }
}
