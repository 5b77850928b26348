//! The writes that took effect.

use std::collections;

/// Largest number of writes kept; older ones are dropped.
const MAX_RECORDS: usize = 100_000;

/// A write that took effect.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct WriteRecord {
    /// Time of the write in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name that the writer gave in `X-Caller`.
    pub caller: String,
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Version that the write gave the object.
    pub version: u64,
}

/// The latest writes, in order.
#[derive(Debug, Default)]
pub struct WriteLog {
    records: collections::VecDeque<WriteRecord>,
}

impl WriteLog {
    /// Adds a write.
    pub fn push(&mut self, record: WriteRecord) {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the kept writes, the oldest first.
    pub const fn records(&self) -> &collections::VecDeque<WriteRecord> {
        &self.records
    }
}
