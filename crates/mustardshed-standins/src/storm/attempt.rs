//! A caller's record of one call.

use std::time;

use crate::load::outcome;

/// One call at one entry; times are Unix milliseconds.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Base URL of the entry.
    pub entry: String,
    /// Request identifier from the response; empty if there was none.
    pub request_id: String,
    /// When the call was sent.
    pub sent_ms: u64,
    /// When its response ended.
    pub ended_ms: u64,
    /// Timeout that the call carried.
    pub deadline: time::Duration,
    /// Age, when the call was sent, of the entry list from which the entry was chosen.
    pub list_age: time::Duration,
    /// Result of the call.
    pub outcome: outcome::Outcome,
    /// Body of a complete response of a plain service.
    pub answer: Option<serde_json::Value>,
}

impl Attempt {
    /// Returns its deadline in Unix milliseconds.
    pub fn due_ms(&self) -> u64 {
        self.sent_ms + self.deadline.as_millis() as u64
    }

    /// Returns whether an entry accepted the connection.
    pub fn is_connected(&self) -> bool {
        self.outcome != outcome::Outcome::NoConnection
    }

    /// Returns the outcome named by an error response.
    pub fn told(&self) -> Option<&str> {
        match &self.outcome {
            outcome::Outcome::Told { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    /// Returns the code of an error response.
    pub fn code(&self) -> Option<&str> {
        match &self.outcome {
            outcome::Outcome::Told { code, .. } => Some(code),
            _ => None,
        }
    }
}
