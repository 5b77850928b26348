//! What one neighbour is known to have.

use std::{collections, time};

use crate::ids;

use super::Key;

/// Time without an acknowledgement after which nothing is taken to have arrived.
const LOST_AFTER: time::Duration = time::Duration::from_secs(2);

/// Version of a fact, greater ones later.
type Version = (ids::Incarnation, u64);

/// A fact as the neighbour has it.
#[derive(Clone, Copy, Debug)]
struct Had {
    version: Version,
    sent_at: ids::Timestamp,
}

/// What one neighbour is known to have.
#[derive(Debug, Default)]
pub(super) struct Neighbour {
    had: collections::BTreeMap<Key, Had>,
    unacknowledged_since: Option<ids::Timestamp>,
}

impl Neighbour {
    /// Begins a heartbeat; if none was acknowledged for a while, all facts count as lost.
    pub(super) fn begin(&mut self, now: ids::Timestamp) {
        let since = *self.unacknowledged_since.get_or_insert(now);
        if now.saturating_sub(since) >= LOST_AFTER {
            self.had.clear();
            self.unacknowledged_since = Some(now);
        }
    }

    /// Notes an acknowledgement of the heartbeat sent at `echo`.
    pub(super) fn acknowledged(&mut self, echo: ids::Timestamp) {
        if self.unacknowledged_since.is_some_and(|since| since <= echo) {
            self.unacknowledged_since = None;
        }
    }

    /// Returns when the subject was last sent if this version is to be sent now.
    pub(super) fn wants(
        &self,
        key: &Key,
        version: Version,
        interval: time::Duration,
        now: ids::Timestamp,
    ) -> Option<ids::Timestamp> {
        let Some(had) = self.had.get(key) else {
            return Some(time::Duration::ZERO);
        };
        let is_due = had.sent_at + interval <= now;
        (had.version < version && is_due).then_some(had.sent_at)
    }

    /// Notes that the neighbour sent this version itself.
    pub(super) fn note_known(&mut self, key: Key, version: Version) {
        let had = self.had.entry(key).or_insert(Had {
            version,
            sent_at: time::Duration::ZERO,
        });
        had.version = had.version.max(version);
    }

    /// Notes that this version was sent.
    pub(super) fn note_sent(&mut self, key: Key, version: Version, now: ids::Timestamp) {
        self.had.insert(
            key,
            Had {
                version,
                sent_at: now,
            },
        );
    }
}
