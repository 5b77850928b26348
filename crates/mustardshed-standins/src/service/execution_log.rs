//! The executions of a plain service.

use std::collections;

use sha2::Digest;

use crate::{
    service::{call, execution},
    unix_time,
};

/// Executions that are kept; older ones are dropped.
const MAX_RECORDS: usize = 100_000;
/// Longest text that is kept of an identifier or a path, in characters.
const MAX_TEXT_CHARS: usize = 256;

/// The latest executions, in their order.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    records: collections::VecDeque<execution::Execution>,
    executions: u64,
}

impl ExecutionLog {
    /// Adds the execution of `call`, and returns its number.
    pub fn push(&mut self, call: &call::Call, non_repeatable: bool) -> u64 {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.executions += 1;
        self.records.push_back(execution::Execution {
            execution: self.executions,
            request_id: shortened(&call.request_id),
            at_ms: unix_time::now_ms(),
            method: shortened(&call.method),
            path: shortened(&call.path),
            body_sha256: hex::encode(sha2::Sha256::digest(&call.body)),
            non_repeatable,
        });
        self.executions
    }

    /// Returns the number of executions, those that were dropped included.
    pub const fn executions(&self) -> u64 {
        self.executions
    }

    /// Returns the kept executions, the oldest first.
    pub const fn records(&self) -> &collections::VecDeque<execution::Execution> {
        &self.records
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
