//! What a caller notes of one call.

use std::time;

use crate::load::outcome;

/// One call at one entry; times are Unix milliseconds.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Base URL of the entry.
    pub entry: String,
    /// Identifier that the answer named; empty if there was none.
    pub request_id: String,
    /// When it was sent.
    pub sent_ms: u64,
    /// When its answer had ended.
    pub ended_ms: u64,
    /// Deadline that it named.
    pub deadline: time::Duration,
    /// Age of the list of entries that named the entry.
    pub list_age: time::Duration,
    /// What became of it.
    pub outcome: outcome::Outcome,
    /// Body of a whole answer of a plain service.
    pub answer: Option<serde_json::Value>,
}

impl Attempt {
    /// Returns the time of its deadline.
    pub fn due_ms(&self) -> u64 {
        self.sent_ms + self.deadline.as_millis() as u64
    }

    /// Returns whether an entry accepted the connection.
    pub fn is_connected(&self) -> bool {
        self.outcome != outcome::Outcome::NoConnection
    }

    /// Returns the outcome that an error told.
    pub fn told(&self) -> Option<&str> {
        match &self.outcome {
            outcome::Outcome::Told { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    /// Returns the code that an error told.
    pub fn code(&self) -> Option<&str> {
        match &self.outcome {
            outcome::Outcome::Told { code, .. } => Some(code),
            _ => None,
        }
    }
}
