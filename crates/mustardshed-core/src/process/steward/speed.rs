//! Prefill speed, measured by the time to the first token.

use std::time;

use crate::ids;

/// Weight of the latest measurement.
const SMOOTHING: f64 = 0.25;
/// Shortest prefill that counts as a measurement, in tokens.
const MIN_TOKENS: ids::Tokens = 512;

/// Smoothed prefill speed of one server.
#[derive(Debug, Default)]
pub(super) struct Speed {
    tokens_per_second: Option<f64>,
}

impl Speed {
    /// Returns the speed in tokens per second; `None` until it was measured.
    pub(super) const fn tokens_per_second(&self) -> Option<f64> {
        self.tokens_per_second
    }

    /// Adds the prefill of a request that had the server to itself.
    pub(super) fn learn(&mut self, tokens: ids::Tokens, elapsed: time::Duration) {
        if tokens < MIN_TOKENS || elapsed.is_zero() {
            return;
        }
        let measured = tokens as f64 / elapsed.as_secs_f64();
        let earlier = self.tokens_per_second.unwrap_or(measured);
        self.tokens_per_second = Some(earlier + SMOOTHING * (measured - earlier));
    }
}

/// Returns the time to prefill `tokens`.
pub(super) fn prefill_time(tokens: ids::Tokens, tokens_per_second: f64) -> time::Duration {
    let seconds = tokens as f64 / tokens_per_second.max(1.0);
    time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
}
