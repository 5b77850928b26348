//! Why a command failed.

use displaydoc::Display;
use mustardshed::{config::problem, core::boundary::platform};

use crate::{apply, entries, exit};

/// Failure of a command.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Failure {
    /// {0}
    Usage(String),
    /// this program failed: {0}
    Internal(String),
    /// the text is not valid
    Text(Vec<problem::Problem>),
    /// {0}
    Apply(apply::ApplyError),
    /// {0}
    Read(apply::ReadError),
    /// no live entry is on the platform's list
    NoLiveEntry,
    /// no entry answered; the last one that was asked, {address}: {reason}
    NoAnswer {
        /// `IP:PORT` of the entry that was asked last.
        address: String,
        /// What went wrong there.
        reason: entries::EntryError,
    },
    /// {address}: {reason}
    Refused {
        /// `IP:PORT` of the entry that answered.
        address: String,
        /// What it answered.
        reason: entries::EntryError,
    },
    /// generation {0} was never accepted, or its history was not kept
    UnknownGeneration(u64),
    /// there is no configuration yet
    NoConfiguration,
}

impl std::error::Error for Failure {}

impl Failure {
    /// Returns how the program ends with this failure.
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

    /// Returns the lines that follow the sentence.
    pub fn details(&self) -> Vec<String> {
        match self {
            Self::Text(problems) => strings(problems),
            Self::Apply(apply::ApplyError::NoMajority { failures, .. }) => strings(failures),
            Self::Apply(apply::ApplyError::Conflict {
                found: Some(found), ..
            }) => {
                let head = format!("generation {} by {}:", found.generation, found.author);
                std::iter::once(head)
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
