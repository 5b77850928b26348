//! The conditional update, and finding out whether it took effect.

use std::time;

use mustardshed::core::{boundary::platform, ids, version::record};

use super::{ApplyError, CURRENT, Current, Writer, announcement, history};

/// Time after its first intent within which an update may be announced again; entries that hold
/// the intent keep it for longer.
const REPEAT_WINDOW: time::Duration = time::Duration::from_secs(30);
/// Greatest number of times that an update is announced again before one repetition.
const MAX_RENEWALS: u32 = 3;

/// What the last attempt at the update showed.
#[derive(Debug)]
enum Outcome {
    /// It took effect.
    Written,
    /// It did not take effect and never will, since the object is at another version.
    Superseded,
    /// It may have taken effect, or may yet.
    Unanswered(String),
}

impl Writer<'_> {
    /// Writes `record` on the condition that `base` is still there.
    pub(super) async fn update(
        &self,
        base: &Current,
        record: &record::Record,
        value: &[u8],
        announcement: &mut announcement::Announcement,
    ) -> Result<(), ApplyError> {
        let deadline = time::Instant::now() + self.settle_timeout;
        let repeat_until = announcement.started_at() + REPEAT_WINDOW;
        let mut may_be_written = false;
        loop {
            if may_be_written {
                // If the intents stay too old, the attempt returns that as its error.
                self.renew(announcement, base, record, repeat_until).await;
            }
            let reason = match self.attempt(base, value, announcement).await {
                Ok(Outcome::Written) => return Ok(()),
                Ok(Outcome::Superseded) => "the object is at another version".to_owned(),
                Ok(Outcome::Unanswered(reason)) => {
                    may_be_written = true;
                    reason
                }
                Err(err) if may_be_written => err.to_string(),
                Err(err) => return Err(err),
            };
            let settlement = Settlement {
                writer: self,
                base,
                record,
                may_be_written,
                deadline,
            };
            if settlement.settle(reason).await? {
                return Ok(());
            }
        }
    }

    /// Announces an update again whose answer was lost, unless its intents are still young.
    async fn renew(
        &self,
        announcement: &mut announcement::Announcement,
        base: &Current,
        record: &record::Record,
        repeat_until: ids::Timestamp,
    ) {
        for _ in 0..MAX_RENEWALS {
            let now = self.clock.now();
            if announcement.is_fresh(now) || now >= repeat_until {
                return;
            }
            match self.announce(base, record).await {
                Ok(renewed) => *announcement = renewed,
                Err(_) => return,
            }
        }
    }

    /// Sends the update once, while its intents are young enough.
    async fn attempt(
        &self,
        base: &Current,
        value: &[u8],
        announcement: &announcement::Announcement,
    ) -> Result<Outcome, ApplyError> {
        let purpose = platform::Purpose::Configuration;
        let kind = platform::ObjectKind::Configuration;
        let value = value.to_vec();
        let platform = self.platform;
        if !announcement.is_fresh(self.clock.now()) {
            return Err(ApplyError::IntentsTooOld);
        }
        let put = platform.put(purpose, kind, CURRENT, base.version, value);
        match put.await {
            Ok(_) => Ok(Outcome::Written),
            Err(platform::PlatformError::Conflict(_)) => Ok(Outcome::Superseded),
            Err(platform::PlatformError::Unanswered(reason)) => Ok(Outcome::Unanswered(reason)),
            Err(err @ platform::PlatformError::Refused(_)) => Err(err.into()),
        }
    }
}

/// An update whose fate is not known from its answer.
#[derive(Debug)]
struct Settlement<'a> {
    writer: &'a Writer<'a>,
    base: &'a Current,
    record: &'a record::Record,
    may_be_written: bool,
    deadline: time::Instant,
}

impl Settlement<'_> {
    /// Reads back until it is known what became of the update: true if the record was written,
    /// false if the update may be repeated.
    async fn settle(&self, mut reason: String) -> Result<bool, ApplyError> {
        loop {
            match Current::read(self.writer.platform).await {
                Ok(found) if found.has_nonce(&self.record.nonce) => return Ok(true),
                Ok(found) if found.generation() >= self.record.generation => {
                    return self.settle_from_history(&found).await;
                }
                Ok(_) if self.pause().await => return Ok(false),
                Ok(_) => return Err(self.timeout_error(reason)),
                Err(err) => reason = err.to_string(),
            }
            if !self.pause().await {
                return Err(self.timeout_error(reason));
            }
        }
    }

    /// Returns true if the record was written before the one that was found, and an error if that
    /// one was written in its place or if this cannot be told.
    async fn settle_from_history(&self, found: &Current) -> Result<bool, ApplyError> {
        if found.generation() == self.record.generation || !self.may_be_written {
            return Err(self.conflict(Some(found)));
        }
        match history::read(self.writer.platform, self.record.generation).await {
            Ok(Some(kept)) if kept.nonce == self.record.nonce => Ok(true),
            Ok(Some(_)) => Err(self.conflict(Some(found))),
            Ok(None) => Err(self.unknown("its generation was replaced and not kept".to_owned())),
            Err(err) => Err(self.unknown(err.to_string())),
        }
    }

    /// Waits for a moment; false if the time is over.
    async fn pause(&self) -> bool {
        tokio::time::sleep(self.writer.settle_interval).await;
        time::Instant::now() < self.deadline
    }

    /// Returns the error for an update that was not settled in time.
    fn timeout_error(&self, reason: String) -> ApplyError {
        if self.may_be_written {
            self.unknown(reason)
        } else {
            self.conflict(None)
        }
    }

    fn conflict(&self, found: Option<&Current>) -> ApplyError {
        let expected: ids::Generation = self.base.generation();
        let found = found.and_then(|found| found.record.as_ref());
        ApplyError::conflict(expected, self.base.record.as_ref(), found)
    }

    fn unknown(&self, reason: String) -> ApplyError {
        ApplyError::Unknown {
            generation: self.record.generation,
            nonce: self.record.nonce.clone(),
            reason,
        }
    }
}
