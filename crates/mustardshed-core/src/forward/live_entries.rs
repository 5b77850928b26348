//! Entries that are alive, as far as this one has heard.

use std::{collections, time};

use crate::ids;

/// Silence after which clients are no longer told of an entry.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_200);
/// Silence after which the work of an entry no longer counts.
pub const DEAD_AFTER: time::Duration = time::Duration::from_millis(2_500);

/// What an entry reports of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Address for clients.
    pub front: String,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// Whether clients should be told of it.
    pub takes_work: bool,
    /// Whether it has lately reached servers through peers only.
    pub is_cut_off: bool,
}

/// Entries that were heard of, with the time of their latest report.
#[derive(Debug, Default)]
pub struct LiveEntries {
    entries: collections::BTreeMap<ids::VmId, (Entry, ids::Timestamp)>,
}

impl LiveEntries {
    /// Records what an entry reported when it was asked at `as_of`, unless a later report is known.
    pub fn update(&mut self, vm: &str, entry: Entry, as_of: ids::Timestamp) {
        let known = self.entries.get(vm);
        if known.is_none_or(|(_, at)| *at <= as_of) {
            self.entries.insert(vm.to_owned(), (entry, as_of));
        }
    }

    /// Returns the latest report of an entry and its time, if the entry is alive.
    #[must_use]
    pub fn get(&self, vm: &str, now: ids::Timestamp) -> Option<(&Entry, ids::Timestamp)> {
        let (entry, at) = self.entries.get(vm)?;
        (now.saturating_sub(*at) < DEAD_AFTER).then_some((entry, *at))
    }

    /// Returns the entries that clients may be told of.
    pub fn fronts(&self, now: ids::Timestamp) -> impl Iterator<Item = &Entry> {
        self.entries
            .values()
            .filter(move |(entry, at)| entry.takes_work && now.saturating_sub(*at) < SUSPECT_AFTER)
            .map(|(entry, _)| entry)
    }

    /// Returns the names of the entries that are alive.
    pub fn alive(&self, now: ids::Timestamp) -> impl Iterator<Item = &ids::VmId> {
        let entries = self.entries.iter();
        let entries = entries.filter(move |(_, (_, at))| now.saturating_sub(*at) < DEAD_AFTER);
        entries.map(|(vm, _)| vm)
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
