//! A mistake in a document, with its place and its reason.

mod reason;

use std::fmt;

pub use reason::Reason;

/// One mistake in the operators' text or in a daemon's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line, from one.
    pub line: usize,
    /// Path of the key, such as `service[2].depends_on`; tables are counted from zero.
    pub key: String,
    /// Offending value as it is written, shortened; empty if there is none.
    pub value: String,
    /// What is wrong with it.
    pub reason: Reason,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: ", self.line)?;
        if !self.key.is_empty() {
            f.write_str(&self.key)?;
        }
        if !self.value.is_empty() {
            write!(f, " = {}", self.value)?;
        }
        if !self.key.is_empty() {
            f.write_str(": ")?;
        }
        write!(f, "{}", self.reason)
    }
}

impl std::error::Error for Problem {}
