//! Prefill speed learned from first tokens.

use std::time;

use crate::ids;

/// Weight of the latest observation.
const SMOOTHING: f64 = 0.25;
/// Shortest prefill that tells of the speed, in tokens.
const LEAST_TOKENS: ids::Tokens = 512;

/// Prefill speed of one server.
#[derive(Debug, Default)]
pub(super) struct Speed {
    tokens_per_second: Option<f64>,
}

impl Speed {
    /// Returns the speed in tokens a second, once one was seen.
    pub(super) const fn tokens_per_second(&self) -> Option<f64> {
        self.tokens_per_second
    }

    /// Takes the prefill of a request that had the server for itself.
    pub(super) fn learn(&mut self, tokens: ids::Tokens, taken: time::Duration) {
        if tokens < LEAST_TOKENS || taken.is_zero() {
            return;
        }
        let seen = tokens as f64 / taken.as_secs_f64();
        let earlier = self.tokens_per_second.unwrap_or(seen);
        self.tokens_per_second = Some(earlier + SMOOTHING * (seen - earlier));
    }
}

/// Returns the time for prefilling `tokens`.
pub(super) fn prefill_time(tokens: ids::Tokens, tokens_per_second: f64) -> time::Duration {
    let seconds = tokens as f64 / tokens_per_second.max(1.0);
    time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
}
