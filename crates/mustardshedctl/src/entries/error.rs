//! Failures of calls on entries.

use displaydoc::Display;

/// Failure of a call on an entry.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum EntryError {
    /// no answer: {0}
    Unanswered(String),
    /// answer {status} that cannot be read: {reason}
    InvalidResponse {
        /// HTTP status.
        status: u16,
        /// What is wrong with it.
        reason: String,
    },
    /// refused with {code}: {message}
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable code from the closed list of error kinds.
        code: String,
        /// Sentence for a person.
        message: String,
    },
}

impl std::error::Error for EntryError {}

impl EntryError {
    /// Whether the entry answered and said no.
    pub const fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }

    /// Whether the entry knows of a later configuration.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Refused { code, .. } if code == "configuration_conflict")
    }
}
