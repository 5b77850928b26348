//! Result of the check of one promise.

use std::fmt;

/// Maximum number of violations listed per promise.
const SHOWN: usize = 12;

/// Result of the check of one promise.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Number of the promise.
    pub promise: u32,
    /// Violations.
    pub violations: Vec<String>,
    /// Summary of what was checked, with counts.
    pub detail: String,
}

impl Verdict {
    /// Creates the verdict on a promise.
    pub fn new(promise: u32, violations: Vec<String>, detail: String) -> Self {
        Self {
            promise,
            violations,
            detail,
        }
    }

    /// Returns whether the promise held.
    pub fn is_ok(&self) -> bool {
        self.violations.is_empty()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.is_ok() { "ok" } else { "VIOLATED" };
        let count = self.violations.len();
        write!(
            f,
            "promise {}: {word} {count} {}",
            self.promise, self.detail
        )?;
        for violation in self.violations.iter().take(SHOWN) {
            write!(f, "\n    {violation}")?;
        }
        if count > SHOWN {
            write!(f, "\n    and {} more", count - SHOWN)?;
        }
        Ok(())
    }
}
