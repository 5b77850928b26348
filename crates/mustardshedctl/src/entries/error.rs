//! Errors of calls to entries.

use displaydoc::Display;

/// Failure of a call to an entry.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EntryError {
    /// no answer: {0}
    Unanswered(String),
    /// invalid response with HTTP status {status}: {reason}
    InvalidResponse {
        /// HTTP status.
        status: u16,
        /// Why the body could not be parsed.
        reason: String,
    },
    /// refused with {code}: {message}
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code from the closed list of error kinds.
        code: String,
        /// Human-readable message.
        message: String,
    },
}

impl std::error::Error for EntryError {}

impl EntryError {
    /// Returns whether the entry responded with a refusal.
    pub const fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }

    /// Returns whether the entry refused because it knows of a later configuration.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Refused { code, .. } if code == "configuration_conflict")
    }
}
