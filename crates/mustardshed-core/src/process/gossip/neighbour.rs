//! The facts that one neighbour is known to have.

use std::{collections, time};

use crate::ids;

use super::{Key, Subject};

/// Time without an acknowledgement after which all sent facts count as lost.
const LOST_AFTER: time::Duration = time::Duration::from_secs(2);

/// Incarnation of the author and version of the fact; the greater pair is the later fact.
type Version = (ids::Incarnation, u64);

/// Latest version of a fact that the neighbour has, and when it was last sent to it.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    version: Version,
    sent_at: ids::Timestamp,
}

/// The facts that one neighbour is known to have, and the authors that it declines.
#[derive(Debug, Default)]
pub(super) struct Neighbour {
    known: collections::BTreeMap<Key, KnownVersion>,
    declined: collections::BTreeSet<ids::VmId>,
    unacknowledged_since: Option<ids::Timestamp>,
}

impl Neighbour {
    /// Begins a heartbeat; after [`LOST_AFTER`] without an acknowledgement all facts count as lost
    /// and no author as declined.
    pub(super) fn begin_heartbeat(&mut self, now: ids::Timestamp) {
        let since = *self.unacknowledged_since.get_or_insert(now);
        if now.saturating_sub(since) >= LOST_AFTER {
            self.known.clear();
            self.declined.clear();
            self.unacknowledged_since = Some(now);
        }
    }

    /// Handles the acknowledgement of the heartbeat sent at `echo`.
    pub(super) fn on_heartbeat_ack(&mut self, echo: ids::Timestamp) {
        if self.unacknowledged_since.is_some_and(|since| since <= echo) {
            self.unacknowledged_since = None;
        }
    }

    /// Records authors whose facts the neighbour gets from others.
    pub(super) fn decline<'a>(&mut self, authors: impl Iterator<Item = &'a ids::VmId>) {
        self.declined.extend(authors.cloned());
    }

    /// Forgets what this entry has forgotten: facts, and declined authors without a fact.
    pub(super) fn forget(&mut self, is_forgotten: impl Fn(&Key) -> bool) {
        self.known.retain(|key, _| !is_forgotten(key));
        self.declined
            .retain(|author| !is_forgotten(&(author.clone(), Subject::Alive)));
    }

    /// Records authors whose facts the neighbour asks for; it may lack their addresses as well.
    pub(super) fn want(&mut self, authors: &[ids::VmId]) {
        for author in authors {
            self.declined.remove(author);
            self.known.remove(&(author.clone(), Subject::Alive));
        }
    }

    /// Returns whether the neighbour has a fact under this key from this incarnation.
    pub(super) fn has_incarnation(&self, key: &Key, incarnation: ids::Incarnation) -> bool {
        let known = self.known.get(key);
        known.is_some_and(|known| known.version.0 == incarnation)
    }

    /// Returns whether the neighbour gets the facts of an author from others.
    pub(super) fn declines(&self, author: &str) -> bool {
        self.declined.contains(author)
    }

    /// Returns `None` if the neighbour has this version or a later one, otherwise the time at which
    /// any version was last sent to it, zero if never.
    pub(super) fn last_sent_if_lacking(
        &self,
        key: &Key,
        version: Version,
    ) -> Option<ids::Timestamp> {
        let Some(known) = self.known.get(key) else {
            return Some(time::Duration::ZERO);
        };
        (known.version < version).then_some(known.sent_at)
    }

    /// Records that the neighbour has this version, since it sent it.
    pub(super) fn note_known(&mut self, key: Key, version: Version) {
        let known = self.known.entry(key).or_insert(KnownVersion {
            version,
            sent_at: time::Duration::ZERO,
        });
        known.version = known.version.max(version);
    }

    /// Records that this version was sent.
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
