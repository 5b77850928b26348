//! Metrics of streams that are read ahead of their clients.

use crate::forward::metrics;

/// Metrics of all streams of the process.
#[derive(Clone, Debug)]
pub struct ReadAhead {
    bytes: prometheus::IntGauge,
    streams: prometheus::IntGauge,
    slow: prometheus::IntGauge,
    total: prometheus::IntCounterVec,
}

impl ReadAhead {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or a label is invalid or registered twice.
    pub(super) fn new(registry: &prometheus::Registry) -> prometheus::Result<Self> {
        let opts = |name: &str, help: &str| {
            prometheus::Opts::new(name, help).namespace(metrics::NAMESPACE)
        };
        let gauge = |name: &str, help: &str| {
            metrics::register(registry, prometheus::IntGauge::with_opts(opts(name, help))?)
        };
        let total = opts(
            "read_ahead_total",
            "Streams that were read ahead, whose clients were slow, or that were not read further",
        );
        let total = prometheus::IntCounterVec::new(total, &["stage"])?;
        Ok(Self {
            bytes: gauge("read_ahead_bytes", "Bytes of streams held for slow clients")?,
            streams: gauge("read_ahead_streams", "Streams of which bytes are held")?,
            slow: gauge(
                "slow_clients",
                "Streams whose clients have not read for a second",
            )?,
            total: metrics::register(registry, total)?,
        })
    }

    /// Returns what a new stream contributes.
    #[must_use]
    pub fn counts(&self) -> Counts {
        Counts {
            totals: self.clone(),
            bytes: 0,
            is_slow: false,
            has_held: false,
            was_slow: false,
            was_stopped: false,
        }
    }
}

/// What one stream contributes to the metrics; the gauges lose it when it is dropped.
#[derive(Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each stands for one counter that a stream increases once"
)]
pub struct Counts {
    totals: ReadAhead,
    bytes: usize,
    is_slow: bool,
    has_held: bool,
    was_slow: bool,
    was_stopped: bool,
}

impl Counts {
    /// Sets the bytes held for the client.
    pub fn set_bytes(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let gauge = &self.totals.bytes;
        gauge.add(metrics::signed(bytes as u64) - metrics::signed(self.bytes as u64));
        match (self.bytes, bytes) {
            (0, _) => self.totals.streams.inc(),
            (_, 0) => self.totals.streams.dec(),
            _ => {}
        }
        self.bytes = bytes;
        count_once(&mut self.has_held, &self.totals, "begun");
    }

    /// Sets whether the client counts as slow; returns whether it does for the first time.
    pub fn set_slow(&mut self, is_slow: bool) -> bool {
        match (self.is_slow, is_slow) {
            (false, true) => self.totals.slow.inc(),
            (true, false) => self.totals.slow.dec(),
            _ => {}
        }
        self.is_slow = is_slow;
        is_slow && count_once(&mut self.was_slow, &self.totals, "slow")
    }

    /// Counts a stream that is not read further for now, by the reason; returns whether that
    /// happens for the first time.
    pub fn stop(&mut self, reason: &str) -> bool {
        count_once(&mut self.was_stopped, &self.totals, reason)
    }

    /// Takes the stream out of the gauges.
    pub fn clear(&mut self) {
        self.set_bytes(0);
        self.set_slow(false);
    }
}

impl Drop for Counts {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Counts a stage that a stream reaches, unless it has reached it before; returns whether it is
/// counted.
fn count_once(was_reached: &mut bool, totals: &ReadAhead, stage: &str) -> bool {
    if *was_reached {
        return false;
    }
    *was_reached = true;
    totals.total.with_label_values(&[stage]).inc();
    true
}
