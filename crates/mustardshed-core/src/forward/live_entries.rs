//! Which entries are alive, as far as this one has heard.

use std::{collections, time};

use crate::ids;

/// Silence after which an entry is no longer named to callers.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_200);
/// Silence after which the work of an entry no longer counts.
pub const DEAD_AFTER: time::Duration = time::Duration::from_millis(2_500);

/// What an entry says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Address for callers.
    pub front: String,
    /// Data centre in which it stands.
    pub data_centre: ids::DataCentreId,
    /// Whether callers should be told of it.
    pub takes_work: bool,
}

/// Entries that were heard of.
#[derive(Debug, Default)]
pub struct LiveEntries {
    entries: collections::BTreeMap<ids::VmId, (Entry, ids::Timestamp)>,
}

impl LiveEntries {
    /// Takes what an entry said of itself when it was asked at `as_of`, unless later words of it are
    /// known.
    pub fn update(&mut self, vm: &str, entry: Entry, as_of: ids::Timestamp) {
        let known = self.entries.get(vm);
        if known.is_none_or(|(_, at)| *at <= as_of) {
            self.entries.insert(vm.to_owned(), (entry, as_of));
        }
    }

    /// Returns what an entry says of itself, and as of when, if it is alive.
    #[must_use]
    pub fn get(&self, vm: &str, now: ids::Timestamp) -> Option<(&Entry, ids::Timestamp)> {
        let (entry, at) = self.entries.get(vm)?;
        (now.saturating_sub(*at) < DEAD_AFTER).then_some((entry, *at))
    }

    /// Returns the addresses of the entries that take work.
    pub fn fronts(&self, now: ids::Timestamp) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(move |(entry, at)| entry.takes_work && now.saturating_sub(*at) < SUSPECT_AFTER)
            .map(|(entry, _)| entry)
    }

    /// Returns the names of the entries that are alive.
    pub fn alive(&self, now: ids::Timestamp) -> impl Iterator<Item = &ids::VmId> {
        let heard = self.entries.iter();
        let heard = heard.filter(move |(_, (_, at))| now.saturating_sub(*at) < DEAD_AFTER);
        heard.map(|(vm, _)| vm)
    }

    /// Returns the number of entries that are alive.
    #[must_use]
    pub fn alive_count(&self, now: ids::Timestamp) -> usize {
        self.alive(now).count()
    }

    /// Removes the entries that have been silent for too long and returns their names.
    pub fn remove_dead(&mut self, now: ids::Timestamp) -> Vec<ids::VmId> {
        let dead = self.entries.iter();
        let dead = dead.filter(|(_, (_, at))| now.saturating_sub(*at) >= DEAD_AFTER);
        let dead: Vec<ids::VmId> = dead.map(|(vm, _)| vm.clone()).collect();
        for vm in &dead {
            self.entries.remove(vm);
        }
        dead
    }
}
