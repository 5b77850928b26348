//! What one neighbour is known to have.

use std::{collections, time};

use crate::ids;

use super::{Key, Subject};

/// Time without an acknowledgement after which nothing is taken to have arrived.
const LOST_AFTER: time::Duration = time::Duration::from_secs(2);

/// Version of a fact, greater ones later.
type Version = (ids::Incarnation, u64);

/// A fact as the neighbour has it.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    version: Version,
    sent_at: ids::Timestamp,
}

/// What one neighbour is known to have.
#[derive(Debug, Default)]
pub(super) struct Neighbour {
    known: collections::BTreeMap<Key, KnownVersion>,
    declined: collections::BTreeSet<ids::VmId>,
    unacknowledged_since: Option<ids::Timestamp>,
}

impl Neighbour {
    /// Begins a heartbeat; if none was acknowledged for a while, all facts count as lost and wanted.
    pub(super) fn begin_heartbeat(&mut self, now: ids::Timestamp) {
        let since = *self.unacknowledged_since.get_or_insert(now);
        if now.saturating_sub(since) >= LOST_AFTER {
            self.known.clear();
            self.declined.clear();
            self.unacknowledged_since = Some(now);
        }
    }

    /// Notes an acknowledgement of the heartbeat sent at `echo`.
    pub(super) fn on_heartbeat_ack(&mut self, echo: ids::Timestamp) {
        if self.unacknowledged_since.is_some_and(|since| since <= echo) {
            self.unacknowledged_since = None;
        }
    }

    /// Notes authors whose facts the neighbour gets elsewhere.
    pub(super) fn decline<'a>(&mut self, authors: impl Iterator<Item = &'a ids::VmId>) {
        self.declined.extend(authors.cloned());
    }

    /// Forgets facts that this entry has forgotten, and the authors of whom it knows no more.
    pub(super) fn forget(&mut self, is_forgotten: impl Fn(&Key) -> bool) {
        self.known.retain(|key, _| !is_forgotten(key));
        self.declined
            .retain(|author| !is_forgotten(&(author.clone(), Subject::Alive)));
    }

    /// Notes authors whose facts the neighbour asks for; it may not even have their addresses.
    pub(super) fn want(&mut self, authors: &[ids::VmId]) {
        for author in authors {
            self.declined.remove(author);
            self.known.remove(&(author.clone(), Subject::Alive));
        }
    }

    /// Returns whether the neighbour has a fact of this run of an author on the subject.
    pub(super) fn has_incarnation(&self, key: &Key, incarnation: ids::Incarnation) -> bool {
        let had = self.known.get(key);
        had.is_some_and(|had| had.version.0 == incarnation)
    }

    /// Returns whether the neighbour gets the facts of an author elsewhere.
    pub(super) fn declines(&self, author: &str) -> bool {
        self.declined.contains(author)
    }

    /// Returns when the subject was last sent, zero if never, if the neighbour lacks this version.
    pub(super) fn last_sent_if_lacking(
        &self,
        key: &Key,
        version: Version,
    ) -> Option<ids::Timestamp> {
        let Some(had) = self.known.get(key) else {
            return Some(time::Duration::ZERO);
        };
        (had.version < version).then_some(had.sent_at)
    }

    /// Notes that the neighbour sent this version itself.
    pub(super) fn note_known(&mut self, key: Key, version: Version) {
        let had = self.known.entry(key).or_insert(KnownVersion {
            version,
            sent_at: time::Duration::ZERO,
        });
        had.version = had.version.max(version);
    }

    /// Notes that this version was sent.
    pub(super) fn note_sent(&mut self, key: Key, version: Version, now: ids::Timestamp) {
        self.known.insert(
            key,
            KnownVersion {
                version,
                sent_at: now,
            },
        );
    }
}
