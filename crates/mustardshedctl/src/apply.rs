//! Writing a configuration in three steps: intent, conditional update, commit.
//!
//! The update is sent within [`INTENT_MAX_AGE`] of the intents, since an entry that restarts forgets
//! them. A writer that was suspended meanwhile begins anew; one that repeats an update whose answer
//! was lost announces it again first.
//!
//! A lost answer to the update is settled by reading back and comparing the nonce. The same update
//! may be sent again only after a read has shown the version that it was based on; it carries that
//! version and the same nonce, so at most one of its copies takes effect.

mod announcement;
mod current;
mod edit;
mod error;
mod history;
mod read_error;
mod receipt;
mod settlement;

use std::time;

use mustardshed::{
    core::{
        boundary::{clock::Clock, platform},
        ids,
        version::record,
    },
    wire::configuration,
};

pub use current::Current;
pub use edit::{Edit, EditError};
pub use error::ApplyError;
pub use history::{object_name as history_object_name, read as read_history};
pub use read_error::ReadError;
pub use receipt::{Receipt, Warning};

use crate::{clock, entries};

/// Name of the platform object that holds the configuration in force.
pub const CURRENT: &str = "current";
/// Size of the largest record, in bytes; the platform's values are not larger.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Time after the first intent is sent within which the update must be.
pub const INTENT_MAX_AGE: time::Duration = time::Duration::from_secs(2);

/// Greatest number of times that a change is begun, if its intents get too old each time.
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Longest time for finding out whether an update whose answer was lost took effect.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Pause between two reads of the configuration.
const SETTLE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Writes configurations.
#[derive(Clone, Debug)]
pub struct Writer<'a> {
    platform: &'a dyn platform::Platform,
    entries: &'a dyn entries::Entries,
    author: String,
    clock: &'a dyn Clock,
    settle_timeout: time::Duration,
    settle_interval: time::Duration,
}

impl<'a> Writer<'a> {
    /// Makes a writer whose records name `author`.
    pub fn new(
        platform: &'a dyn platform::Platform,
        entries: &'a dyn entries::Entries,
        author: impl Into<String>,
    ) -> Self {
        Self {
            platform,
            entries,
            author: author.into(),
            clock: &clock::SystemClock,
            settle_timeout: SETTLE_TIMEOUT,
            settle_interval: SETTLE_INTERVAL,
        }
    }

    /// Sets the clock by which the age of intents is told.
    #[must_use]
    pub const fn clock(mut self, clock: &'a dyn Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the longest time for finding out whether an update whose answer was lost took effect.
    #[must_use]
    pub const fn settle_timeout(mut self, timeout: time::Duration) -> Self {
        self.settle_timeout = timeout;
        self
    }

    /// Sets the pause between two reads of the configuration.
    #[must_use]
    pub const fn settle_interval(mut self, interval: time::Duration) -> Self {
        self.settle_interval = interval;
        self
    }

    /// Writes the configuration that `edit` makes of the present one.
    ///
    /// With `expected`, nothing is written unless the present configuration has that generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration was not written, or if that cannot be told.
    pub async fn write(
        &self,
        edit: &Edit,
        expected: Option<ids::Generation>,
    ) -> Result<Receipt, ApplyError> {
        for _ in 1..MAX_WRITE_ATTEMPTS {
            match self.write_once(edit, expected).await {
                Err(ApplyError::IntentsTooOld) => {}
                ended => return ended,
            }
        }
        self.write_once(edit, expected).await
    }

    async fn write_once(
        &self,
        edit: &Edit,
        expected: Option<ids::Generation>,
    ) -> Result<Receipt, ApplyError> {
        let base = Current::read(self.platform).await?;
        self.check_expected(&base, expected).await?;
        let record = edit.apply(&base, &self.author)?;
        let value = encode(&record)?;
        let mut announcement = self.announce(&base, &record).await?;
        self.update(&base, &record, &value, &mut announcement)
            .await?;
        let untold = announcement.commit(self.entries, &record).await;
        let history = history::store(self.platform, &base, &record, &value).await;
        Ok(Receipt::new(record, &announcement, untold, history.err()))
    }

    /// Checks that the present configuration has the expected generation, if one is given.
    async fn check_expected(
        &self,
        base: &Current,
        expected: Option<ids::Generation>,
    ) -> Result<(), ApplyError> {
        let Some(expected) = expected else {
            return Ok(());
        };
        if base.generation() == expected {
            return Ok(());
        }
        let read_before = history::read(self.platform, expected).await.ok().flatten();
        Err(ApplyError::conflict(
            expected,
            read_before.as_ref(),
            base.record.as_ref(),
        ))
    }

    /// Sends the intent to all entries; an error if no majority acknowledges it.
    async fn announce(
        &self,
        base: &Current,
        record: &record::Record,
    ) -> Result<announcement::Announcement, ApplyError> {
        let vms = self.platform.vms().await?;
        let started_at = self.clock.now();
        let sending = announcement::Announcement::send(self.entries, &vms, record, started_at);
        let announcement = sending.await;
        if announcement.has_majority() {
            return Ok(announcement);
        }
        if announcement.has_conflict() {
            let found = Current::read(self.platform).await?;
            if found.generation() > base.generation() {
                let generation = base.generation();
                let (before, after) = (base.record.as_ref(), found.record.as_ref());
                return Err(ApplyError::conflict(generation, before, after));
            }
        }
        Err(announcement.into_error())
    }
}

fn encode(record: &record::Record) -> Result<Vec<u8>, ApplyError> {
    let value = configuration::encode(record).map_err(|err| ApplyError::Encode(err.to_string()))?;
    if value.len() > MAX_RECORD_BYTES {
        return Err(ApplyError::TooLarge {
            len: value.len(),
            limit: MAX_RECORD_BYTES,
        });
    }
    Ok(value)
}
