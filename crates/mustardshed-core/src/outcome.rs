//! How a request ended, as far as it is known.

use std::fmt;

/// How a request ended, as far as it is known; callers see it by its stable name.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// The request was sent to no backend server and will not be.
    NotRun,
    /// The request ran or may have run in part, and will not continue.
    Failed,
    /// It is not known whether the request ran.
    Unknown,
    /// The request is still in progress.
    Running,
    /// The request ran to completion.
    Completed,
}

impl Outcome {
    /// Every outcome.
    pub const ALL: [Self; 5] = [
        Self::NotRun,
        Self::Failed,
        Self::Unknown,
        Self::Running,
        Self::Completed,
    ];

    /// Returns the outcome with this stable name, if there is one.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|outcome| outcome.as_str() == name)
    }

    /// Returns the stable name that callers see.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Running => "running",
            Self::Completed => "completed",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
