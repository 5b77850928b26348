//! Why a configuration was not written.

use displaydoc::Display;
use mustardshed::core::{boundary::platform, ids, version::record};

use super::{EditError, ReadError};
use crate::{entries, exit, record_change};

/// Failure to write a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ApplyError {
    /// nothing was written: {0}
    Edit(EditError),
    /// nothing was written: the record takes {len} bytes as JSON, at most {limit} can be stored
    TooLarge {
        /// Size of the record, in bytes.
        len: usize,
        /// Size allowed, in bytes.
        limit: usize,
    },
    /// nothing was written: the record cannot be written as JSON: {0}
    Encode(String),
    /// nothing was written: the platform failed: {0}
    Platform(platform::PlatformError),
    /// nothing was written: {0}
    Read(ReadError),
    /// nothing was written: {acknowledged} of {live} live entries acknowledged the intent, not a majority
    NoMajority {
        /// Live entries that acknowledged it.
        acknowledged: usize,
        /// Live entries on the platform's list.
        live: usize,
        /// What the others answered, by address.
        failures: Vec<EntryFailure>,
    },
    /// nothing was written: the intents were older than 2 s when the record was to be written
    IntentsTooOld,
    /// nothing was written: the configuration is no longer of generation {expected}
    Conflict {
        /// Generation on which the change was based.
        expected: ids::Generation,
        /// The configuration that is there now, if it could be read.
        found: Option<ConflictingRecord>,
    },
    /// whether the configuration of generation {generation} was written cannot be told: {reason}
    Unknown {
        /// Generation of the record.
        generation: ids::Generation,
        /// Nonce of the record, by which it can be recognised later.
        nonce: String,
        /// Why it cannot be told.
        reason: String,
    },
}

/// An entry's refusal of an intent.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{address}: {reason}")]
pub struct EntryFailure {
    /// `IP:PORT` of the entry.
    pub address: String,
    /// What it answered.
    pub reason: entries::EntryError,
}

/// A configuration that somebody else wrote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConflictingRecord {
    /// Its generation.
    pub generation: ids::Generation,
    /// Who wrote it.
    pub author: String,
    /// What differs from the configuration on which the change was based.
    pub changes: Vec<record_change::RecordChange>,
}

impl std::error::Error for ApplyError {}

impl ApplyError {
    /// Makes a conflict between the record that was `before` and the one found `after`.
    pub(super) fn conflict(
        expected: ids::Generation,
        before: Option<&record::Record>,
        after: Option<&record::Record>,
    ) -> Self {
        let found = after.map(|after| ConflictingRecord {
            generation: after.generation,
            author: after.author.clone(),
            changes: record_change::between(before, after),
        });
        Self::Conflict { expected, found }
    }

    /// Returns how the program ends with this error.
    pub const fn exit_status(&self) -> exit::ExitStatus {
        match self {
            Self::Edit(_) | Self::TooLarge { .. } => exit::ExitStatus::Invalid,
            Self::Conflict { .. } => exit::ExitStatus::Conflict,
            Self::Unknown { .. } => exit::ExitStatus::Unknown,
            Self::Encode(_)
            | Self::Platform(_)
            | Self::Read(_)
            | Self::NoMajority { .. }
            | Self::IntentsTooOld => exit::ExitStatus::Failed,
        }
    }
}

impl From<EditError> for ApplyError {
    fn from(err: EditError) -> Self {
        Self::Edit(err)
    }
}

impl From<ReadError> for ApplyError {
    fn from(err: ReadError) -> Self {
        Self::Read(err)
    }
}

impl From<platform::PlatformError> for ApplyError {
    fn from(err: platform::PlatformError) -> Self {
        Self::Platform(err)
    }
}
