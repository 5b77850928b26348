//! Errors of writing a configuration.

use displaydoc::Display;
use mustardshed::core::{boundary::platform, ids, version::record};

use super::{EditError, ReadError};
use crate::{entries, exit, record_change};

/// Failure to write a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ApplyError {
    /// nothing was written: {0}
    Edit(EditError),
    /// nothing was written: the record takes {len} bytes as JSON, more than the limit of {limit}
    TooLarge {
        /// Size of the record, in bytes.
        len: usize,
        /// Size allowed, in bytes.
        limit: usize,
    },
    /// nothing was written: cannot encode the record as JSON: {0}
    Encode(String),
    /// nothing was written: the platform failed: {0}
    Platform(platform::PlatformError),
    /// nothing was written: {0}
    Read(ReadError),
    /// nothing was written: {acknowledged} of {live} live entries acknowledged the intent, not a majority
    NoMajority {
        /// Number of live entries that acknowledged the intent.
        acknowledged: usize,
        /// Number of live entries on the platform's list.
        live: usize,
        /// Failed calls to the other live entries.
        failures: Vec<EntryFailure>,
    },
    /// nothing was written: the intents were older than 2 s before the update could be sent
    IntentsTooOld,
    /// nothing was written: the current configuration is not of generation {expected}
    Conflict {
        /// Generation that the change was based on.
        expected: ids::Generation,
        /// The current configuration, if it could be read.
        found: Option<ConflictingRecord>,
    },
    /// it is unknown whether the configuration of generation {generation} was written: {reason}
    Unknown {
        /// Generation of the record.
        generation: ids::Generation,
        /// Nonce of the record, which identifies it in a later read.
        nonce: String,
        /// Why it is unknown.
        reason: String,
    },
}

/// A failed intent or commit call to one entry.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{address}: {reason}")]
pub struct EntryFailure {
    /// `IP:PORT` of the entry.
    pub address: String,
    /// Why the call failed.
    pub reason: entries::EntryError,
}

/// The configuration that was found in place of the expected one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConflictingRecord {
    /// Generation of the configuration.
    pub generation: ids::Generation,
    /// Operator who wrote it.
    pub author: String,
    /// Differences from the configuration that the change was based on.
    pub changes: Vec<record_change::RecordChange>,
}

impl std::error::Error for ApplyError {}

impl ApplyError {
    /// Returns the error for a change based on `before`, when `after` was found in its place.
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

    /// Returns the exit status of the program for this error.
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
