//! Which faults were in force when.

use std::sync;

use super::fault;
use crate::unix_time;

/// A fault that was in force for a while; times are Unix milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Span {
    /// Kind.
    pub kind: fault::Kind,
    /// Name of what it struck.
    pub target: String,
    /// Its start.
    pub from_ms: u64,
    /// Its end; `u64::MAX` while it lasts.
    pub until_ms: u64,
}

impl Span {
    /// Returns whether it was in force at some time of an interval.
    pub const fn overlaps(&self, from_ms: u64, until_ms: u64) -> bool {
        self.from_ms <= until_ms && from_ms <= self.until_ms
    }
}

/// Faults since the storm's start.
#[derive(Debug, Default)]
pub struct Timeline {
    spans: sync::Mutex<Vec<Span>>,
}

impl Timeline {
    /// Notes that a fault begins, and returns its number.
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

    /// Notes that a fault has ended.
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
