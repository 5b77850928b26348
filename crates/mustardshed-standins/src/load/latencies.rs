//! Histogram of latencies.

use std::{fmt, time};

use serde::Serialize;

/// Highest latency that the histogram can record, in microseconds.
const MAX_US: u64 = 24 * 3_600 * 1_000_000;
/// Significant decimal digits of a recorded latency.
const DIGITS: u8 = 3;

/// Histogram of one kind of latency.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Option<hdrhistogram::Histogram<u64>>,
}

/// Quantiles of latencies in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// Number of latencies.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

impl Default for Latencies {
    fn default() -> Self {
        // Cannot fail: the constants lie in the range that the library accepts.
        let histogram = hdrhistogram::Histogram::new_with_bounds(1, MAX_US, DIGITS).ok();
        Self { histogram }
    }
}

impl Latencies {
    /// Records a latency.
    pub fn add(&mut self, latency: time::Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_US);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(us.clamp(1, MAX_US));
        }
    }

    /// Returns the quantiles.
    pub fn quantiles(&self) -> Quantiles {
        let ms = |q: f64| {
            let us = self.histogram.as_ref().map(|h| h.value_at_quantile(q));
            us.unwrap_or_default() as f64 / 1_000.0
        };
        Quantiles {
            count: self.histogram.as_ref().map_or(0, |h| h.len()),
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
            p99_ms: ms(0.99),
            max_ms: ms(1.0),
        }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>8} {:>10.1} {:>10.1} {:>10.1} {:>10.1}",
            self.count, self.p50_ms, self.p95_ms, self.p99_ms, self.max_ms
        )
    }
}
