//! Exit statuses of the program.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The command failed and changed nothing.
    Failed,
    /// The command line or the configuration text is not valid.
    Invalid,
    /// Somebody else changed the configuration first; nothing was written.
    Conflict,
    /// It is unknown whether the configuration was written.
    Unknown,
    /// The configuration was accepted, but not every entry confirmed it in time.
    Unconfirmed,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Invalid => 2,
            Self::Conflict => 3,
            Self::Unknown => 4,
            Self::Unconfirmed => 5,
        }
    }

    /// Returns the name used in JSON output.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Invalid => "invalid",
            Self::Conflict => "conflict",
            Self::Unknown => "unknown",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

impl From<ExitStatus> for process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
