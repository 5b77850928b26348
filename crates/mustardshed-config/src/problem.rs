//! An invalid value in a document, with its location and the reason.

mod reason;

use std::fmt;

pub use reason::Reason;

/// One problem in the configuration or in a daemon's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line number, counted from one.
    pub line: usize,
    /// Path of the key, such as `service[2].depends_on`; tables are counted from zero. Empty for a
    /// problem with the whole document.
    pub key: String,
    /// Invalid value as written, shortened or redacted; empty if there is none.
    pub value: String,
    /// Why it is invalid.
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
