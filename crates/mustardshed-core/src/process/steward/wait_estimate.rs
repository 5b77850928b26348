//! Estimates the wait in the queue.

use std::time;

use crate::ids;

/// Divisor that gives the weight of the latest interval.
const SMOOTHING: u32 = 4;

/// Smoothed interval between grants to requests that had to wait.
#[derive(Debug, Default)]
pub(super) struct WaitEstimate {
    served_at: Option<ids::Timestamp>,
    interval: time::Duration,
}

impl WaitEstimate {
    /// Records that a request was granted; `waited` tells whether it had to wait.
    pub(super) fn served(&mut self, waited: bool, now: ids::Timestamp) {
        if let (true, Some(at)) = (waited, self.served_at) {
            let latest = now.saturating_sub(at);
            self.interval = (self.interval * (SMOOTHING - 1) + latest) / SMOOTHING;
        }
        self.served_at = Some(now);
    }

    /// Records that the queue is empty, so that idle time does not count as slow service.
    pub(super) const fn idle(&mut self) {
        self.served_at = None;
    }

    /// Returns the estimated wait behind `ahead` other requests.
    pub(super) fn estimate(&self, ahead: usize) -> time::Duration {
        self.interval
            .saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }
}
