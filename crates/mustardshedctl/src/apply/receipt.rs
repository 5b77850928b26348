//! The result of a successful write.

use displaydoc::Display;
use mustardshed::core::{boundary::platform, version::record};

use super::{announcement, error::EntryFailure};

/// A configuration that the platform accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Receipt {
    /// The record as the platform holds it.
    pub record: record::Record,
    /// Number of live entries on the platform's list.
    pub live: usize,
    /// Number of live entries that acknowledged the intent.
    pub acknowledged: usize,
    /// Failures that do not change the outcome.
    pub warnings: Vec<Warning>,
}

/// A failure after which the configuration is accepted nevertheless.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Warning {
    /// no live entry is on the platform's list; entries will read the configuration when they start
    NoLiveEntry,
    /// an entry did not acknowledge the commit; it will learn by its watch or from others: {0}
    CommitFailed(EntryFailure),
    /// the history was not written; the next change will write it: {0}
    HistoryFailed(platform::PlatformError),
}

impl Receipt {
    /// Creates a receipt from the results of the steps.
    pub(super) fn new(
        record: record::Record,
        announcement: &announcement::Announcement,
        not_committed: Vec<EntryFailure>,
        history: Option<platform::PlatformError>,
    ) -> Self {
        let mut warnings = Vec::new();
        if announcement.live() == 0 {
            warnings.push(Warning::NoLiveEntry);
        }
        warnings.extend(not_committed.into_iter().map(Warning::CommitFailed));
        warnings.extend(history.map(Warning::HistoryFailed));
        Self {
            record,
            live: announcement.live(),
            acknowledged: announcement.acknowledged(),
            warnings,
        }
    }
}
