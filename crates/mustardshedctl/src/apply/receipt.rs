//! What is known of a configuration that was accepted.

use displaydoc::Display;
use mustardshed::core::{boundary::platform, version::record};

use super::{announcement, error::EntryFailure};

/// An accepted configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Receipt {
    /// The record as the platform holds it.
    pub record: record::Record,
    /// Live entries on the platform's list.
    pub live: usize,
    /// Live entries that acknowledged the intent.
    pub acknowledged: usize,
    /// What did not go as it should, none of which changes the outcome.
    pub warnings: Vec<Warning>,
}

/// Something that did not go as it should although the configuration was accepted.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Warning {
    /// no live entry is on the platform's list; entries will read the configuration when they start
    NoLiveEntry,
    /// an entry was not told and will learn by its watch or from others: {0}
    CommitFailed(EntryFailure),
    /// the history was not kept; the next writer will do so: {0}
    HistoryFailed(platform::PlatformError),
}

impl Receipt {
    /// Makes a receipt from the results of the steps.
    pub(super) fn new(
        record: record::Record,
        announcement: &announcement::Announcement,
        untold: Vec<EntryFailure>,
        history: Option<platform::PlatformError>,
    ) -> Self {
        let mut warnings = Vec::new();
        if announcement.live() == 0 {
            warnings.push(Warning::NoLiveEntry);
        }
        warnings.extend(untold.into_iter().map(Warning::CommitFailed));
        warnings.extend(history.map(Warning::HistoryFailed));
        Self {
            record,
            live: announcement.live(),
            acknowledged: announcement.acknowledged(),
            warnings,
        }
    }
}
