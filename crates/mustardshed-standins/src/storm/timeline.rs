//! Which faults were active at what time.

use std::sync;

use super::fault;
use crate::unix_time;

/// The interval in which a fault was active; times are Unix milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// Kind of the fault.
    pub kind: fault::Kind,
    /// Name of the affected process or data centre.
    pub target: String,
    /// Start of the fault.
    pub from_ms: u64,
    /// End of the fault; `u64::MAX` while it is active.
    pub until_ms: u64,
}

impl Span {
    /// Returns whether the fault was active at any time in an interval.
    pub const fn overlaps(&self, from_ms: u64, until_ms: u64) -> bool {
        self.from_ms <= until_ms && from_ms <= self.until_ms
    }
}

/// All faults since the start of the storm.
#[derive(Debug, Default)]
pub struct Timeline {
    spans: sync::Mutex<Vec<Span>>,
}

impl Timeline {
    /// Records the start of a fault and returns its number.
    pub fn begin(&self, kind: fault::Kind, target: &str) -> usize {
        let mut spans = self.lock();
        spans.push(Span {
            kind,
            target: target.to_owned(),
            from_ms: unix_time::now_ms(),
            until_ms: u64::MAX,
        });
        spans.len() - 1
    }

    /// Records the end of a fault.
    pub fn end(&self, number: usize) {
        if let Some(span) = self.lock().get_mut(number) {
            span.until_ms = unix_time::now_ms();
        }
    }

    /// Returns all faults.
    pub fn spans(&self) -> Vec<Span> {
        self.lock().clone()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Span>> {
        self.spans
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
