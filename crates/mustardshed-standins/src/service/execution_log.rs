//! The executions of a plain service.

use std::collections;

use sha2::Digest;

use crate::{
    service::{call, execution},
    unix_time,
};

/// Largest number of executions kept; older ones are dropped.
const MAX_RECORDS: usize = 100_000;
/// Length to which identifiers, methods and paths are truncated, in characters.
const MAX_TEXT_CHARS: usize = 256;

/// The latest executions, in order.
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
            request_id: truncated(&call.request_id),
            at_ms: unix_time::now_ms(),
            method: truncated(&call.method),
            path: truncated(&call.path),
            body_sha256: hex::encode(sha2::Sha256::digest(&call.body)),
            non_repeatable,
        });
        self.executions
    }

    /// Returns the number of executions, including dropped records.
    pub const fn executions(&self) -> u64 {
        self.executions
    }

    /// Returns the kept executions, the oldest first.
    pub const fn records(&self) -> &collections::VecDeque<execution::Execution> {
        &self.records
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}
