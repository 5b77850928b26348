//! Sends the conditional update and finds out whether it took effect.

use std::time;

use mustardshed::core::{boundary::platform, ids, version::record};

use super::{ApplyError, CURRENT, Current, Writer, announcement, history};

/// Time after its first intent within which an update may be announced again; entries remember an
/// intent for longer than that.
const REPEAT_WINDOW: time::Duration = time::Duration::from_secs(30);
/// Most times that an update is announced again before it is repeated once.
const MAX_RENEWALS: u32 = 3;

/// Outcome of one attempt at the update.
#[derive(Debug)]
enum Outcome {
    /// The update took effect.
    Written,
    /// It did not and will not take effect, since the object is at another version.
    Superseded,
    /// The response was lost: it may have taken effect, or may do so later.
    Unanswered(String),
}

impl Writer<'_> {
    /// Writes `record` on the condition that the object still has the version of `base`.
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
                // If the intents are still too old, the attempt returns that error.
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

    /// Announces an update again whose response was lost, unless its intents are recent enough.
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

    /// Sends the update once; fails if its intents are too old.
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

/// An update whose response did not settle whether it took effect.
#[derive(Debug)]
struct Settlement<'a> {
    writer: &'a Writer<'a>,
    base: &'a Current,
    record: &'a record::Record,
    may_be_written: bool,
    deadline: time::Instant,
}

impl Settlement<'_> {
    /// Reads the configuration until the outcome of the update is known: true if the record was
    /// written, false if the update may be repeated.
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

    /// Returns true if the history shows that the record was written before the one in `found`.
    ///
    /// Returns an error if that one was written in its place, or if this is unknown.
    async fn settle_from_history(&self, found: &Current) -> Result<bool, ApplyError> {
        if found.generation() == self.record.generation || !self.may_be_written {
            return Err(self.conflict(Some(found)));
        }
        match history::read(self.writer.platform, self.record.generation).await {
            Ok(Some(stored)) if stored.nonce == self.record.nonce => Ok(true),
            Ok(Some(_)) => Err(self.conflict(Some(found))),
            Ok(None) => Err(self.unknown("replaced since, and not in the history".to_owned())),
            Err(err) => Err(self.unknown(err.to_string())),
        }
    }

    /// Waits for the interval between reads; returns false once the deadline has passed.
    async fn pause(&self) -> bool {
        tokio::time::sleep(self.writer.settle_interval).await;
        time::Instant::now() < self.deadline
    }

    /// Returns the error for an update whose outcome was not known by the deadline.
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
