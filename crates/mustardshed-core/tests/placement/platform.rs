//! Fake platform: one lease object, with outages, lost responses and stale reads.

use std::time;

use mustardshed_core::{boundary::platform::PlatformError, ids, process::placement::record};

/// Age of the state that a stale read returns.
const STALE_READ_AGE: time::Duration = time::Duration::from_secs(3);
/// Delay with which a late write takes effect.
const LATE_WRITE_DELAY: time::Duration = time::Duration::from_millis(700);

type Object = Option<(ids::ObjectVersion, record::Record)>;

/// Fault of the next write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// It takes effect, but its response is lost.
    After,
    /// It never arrives.
    Before,
    /// It takes effect late, and its response is lost.
    Late,
}

/// The platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    pub is_out: bool,
    pub serves_stale_reads: bool,
    /// Index of the entry that gets no responses, and whose writes have no effect.
    pub cut: Option<usize>,
    pub loss: Option<Loss>,
    version: u64,
    history: Vec<(ids::Timestamp, record::Record, u64)>,
    late: Vec<(ids::Timestamp, ids::ObjectVersion, record::Record)>,
}

impl Platform {
    pub fn advance(&mut self, now: ids::Timestamp) {
        let late = std::mem::take(&mut self.late);
        for (at, expected, record) in late {
            if now >= at {
                let _ = self.put(expected, record, now);
            } else {
                self.late.push((at, expected, record));
            }
        }
    }

    /// Returns the holder that the lease object names; empty if there is no object.
    pub fn holder(&self) -> &str {
        let present = self.history.last();
        present.map_or("", |(_, record, _)| record.holder.as_str())
    }

    pub fn read(&self, caller: usize, now: ids::Timestamp) -> Result<Object, PlatformError> {
        if self.is_out || self.cut == Some(caller) {
            return Err(PlatformError::Refused("outage".to_owned()));
        }
        let until = if self.serves_stale_reads {
            now.saturating_sub(STALE_READ_AGE)
        } else {
            now
        };
        let shown = self.history.iter().rfind(|(at, ..)| *at <= until);
        Ok(shown.map(|(_, record, version)| (*version, record.clone())))
    }

    pub fn write(
        &mut self,
        caller: usize,
        expected: ids::ObjectVersion,
        record: record::Record,
        now: ids::Timestamp,
    ) -> Result<ids::ObjectVersion, PlatformError> {
        if self.is_out {
            return Err(PlatformError::Refused("outage".to_owned()));
        }
        if self.cut == Some(caller) {
            return Err(PlatformError::Unanswered("silence".to_owned()));
        }
        let Some(loss) = self.loss.take() else {
            return self.put(expected, record, now);
        };
        match loss {
            Loss::After => {
                let _ = self.put(expected, record, now);
            }
            Loss::Before => {}
            Loss::Late => self.late.push((now + LATE_WRITE_DELAY, expected, record)),
        }
        Err(PlatformError::Unanswered("lost".to_owned()))
    }

    fn put(
        &mut self,
        expected: ids::ObjectVersion,
        record: record::Record,
        now: ids::Timestamp,
    ) -> Result<ids::ObjectVersion, PlatformError> {
        let present = self.history.last().map_or(0, |(.., version)| *version);
        if present != expected {
            return Err(PlatformError::Conflict(present));
        }
        self.version += 1;
        self.history.push((now, record, self.version));
        Ok(self.version)
    }
}
