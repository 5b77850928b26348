//! Writing a configuration in three steps: intent, conditional update, commit.
//!
//! The update is sent within [`INTENT_MAX_AGE`] of the first intent, since an entry that restarts
//! forgets the intents it acknowledged. A writer that was suspended in between starts again from
//! the beginning. Before it repeats an update whose response was lost, it sends the intents again
//! if they are too old.
//!
//! If the response to the update is lost, the writer reads the configuration back and compares the
//! nonce. It sends the same update again only after a read has shown the version that the update
//! was based on. Each copy carries that version and the same nonce, so at most one takes effect.

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
/// Size of the largest record, in bytes; the platform accepts no larger values.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;

/// Time after the first intent within which the update must be sent.
pub const INTENT_MAX_AGE: time::Duration = time::Duration::from_secs(2);

/// Most attempts at a change, if its intents become too old each time.
const MAX_WRITE_ATTEMPTS: u32 = 3;
/// Longest time to find out whether an update took effect whose response was lost.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Interval between reads of the configuration while the outcome of an update is unknown.
const SETTLE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Writes configurations to the platform and announces them to the entries.
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
    /// Creates a writer whose records name `author`.
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

    /// Sets the clock that measures the age of intents.
    #[must_use]
    pub const fn clock(mut self, clock: &'a dyn Clock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the longest time to find out whether an update took effect whose response was lost.
    #[must_use]
    pub const fn settle_timeout(mut self, timeout: time::Duration) -> Self {
        self.settle_timeout = timeout;
        self
    }

    /// Sets the interval between reads of the configuration while the outcome is unknown.
    #[must_use]
    pub const fn settle_interval(mut self, interval: time::Duration) -> Self {
        self.settle_interval = interval;
        self
    }

    /// Applies `edit` to the current configuration and writes the result.
    ///
    /// With `expected`, nothing is written unless the current configuration has that generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration was not written, or if it is unknown whether it was.
    pub async fn write(
        &self,
        edit: &Edit,
        expected: Option<ids::Generation>,
    ) -> Result<Receipt, ApplyError> {
        for _ in 1..MAX_WRITE_ATTEMPTS {
            match self.write_once(edit, expected).await {
                Err(ApplyError::IntentsTooOld) => {}
                result => return result,
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
        let not_committed = announcement.commit(self.entries, &record).await;
        let history = history::store(self.platform, &base, &record, &value).await;
        Ok(Receipt::new(
            record,
            &announcement,
            not_committed,
            history.err(),
        ))
    }

    /// Checks that the current configuration has the expected generation, if one is given.
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
        let before = history::read(self.platform, expected).await.ok().flatten();
        Err(ApplyError::conflict(
            expected,
            before.as_ref(),
            base.record.as_ref(),
        ))
    }

    /// Sends the intent to all entries; fails if no majority of the live ones acknowledges it.
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
