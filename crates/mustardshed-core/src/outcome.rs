//! What is known of the fate of a request.

use std::fmt;

/// Fate of a request, as told to its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// No backend server was given the request, and none will be.
    NotRun,
    /// The request ran or may have run in part, and will not go on.
    Failed,
    /// Whether the request ran cannot be told.
    Unknown,
    /// The request is still being worked on.
    Running,
    /// The request ran to its end.
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

    /// Returns the outcome with a stable name.
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
