//! Errors of commands.

use displaydoc::Display;
use mustardshed::{config::problem, core::boundary::platform};

use crate::{apply, entries, exit};

/// Failure of a command.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Failure {
    /// {0}
    Usage(String),
    /// internal error: {0}
    Internal(String),
    /// the configuration text is not valid
    Text(Vec<problem::Problem>),
    /// {0}
    Apply(apply::ApplyError),
    /// {0}
    Read(apply::ReadError),
    /// no live entry is on the platform's list
    NoLiveEntry,
    /// no entry answered; the last one tried, {address}: {reason}
    NoAnswer {
        /// `IP:PORT` of the entry that was tried last.
        address: String,
        /// Why that call failed.
        reason: entries::EntryError,
    },
    /// {address}: {reason}
    Refused {
        /// `IP:PORT` of the entry that refused.
        address: String,
        /// The refusal.
        reason: entries::EntryError,
    },
    /// generation {0} was never accepted, or it is not in the history
    UnknownGeneration(u64),
    /// there is no configuration yet
    NoConfiguration,
}

impl std::error::Error for Failure {}

impl Failure {
    /// Returns the exit status of the program for this failure.
    pub const fn exit_status(&self) -> exit::ExitStatus {
        match self {
            Self::Usage(_) | Self::Text(_) => exit::ExitStatus::Invalid,
            Self::Apply(err) => err.exit_status(),
            Self::Internal(_)
            | Self::Read(_)
            | Self::NoLiveEntry
            | Self::NoAnswer { .. }
            | Self::Refused { .. }
            | Self::UnknownGeneration(_)
            | Self::NoConfiguration => exit::ExitStatus::Failed,
        }
    }

    /// Returns the lines that are printed after the message.
    pub fn details(&self) -> Vec<String> {
        match self {
            Self::Text(problems) => strings(problems),
            Self::Apply(apply::ApplyError::NoMajority { failures, .. }) => strings(failures),
            Self::Apply(apply::ApplyError::Conflict {
                found: Some(found), ..
            }) => {
                let header = format!("generation {} by {}:", found.generation, found.author);
                std::iter::once(header)
                    .chain(strings(&found.changes))
                    .collect()
            }
            _ => Vec::new(),
        }
    }
}

impl From<apply::ApplyError> for Failure {
    fn from(err: apply::ApplyError) -> Self {
        match err {
            apply::ApplyError::Edit(apply::EditError::Text(problems)) => Self::Text(problems),
            err => Self::Apply(err),
        }
    }
}

impl From<apply::ReadError> for Failure {
    fn from(err: apply::ReadError) -> Self {
        Self::Read(err)
    }
}

impl From<platform::PlatformError> for Failure {
    fn from(err: platform::PlatformError) -> Self {
        Self::Read(err.into())
    }
}

fn strings<T: ToString>(items: &[T]) -> Vec<String> {
    items.iter().map(ToString::to_string).collect()
}
