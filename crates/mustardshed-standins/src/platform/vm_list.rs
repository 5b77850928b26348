//! The list of VMs with its earlier states, for reads that lag.

use std::{collections, time};

use crate::platform::vm;

/// Largest number of listed VMs.
const MAX_VMS: usize = 1_024;
/// Number of earlier states kept.
const MAX_EARLIER: usize = 64;

type Items = collections::BTreeMap<String, vm::Vm>;

/// The list of VMs.
#[derive(Debug, Default)]
pub struct VmList {
    present: Items,
    changed_at: time::Duration,
    earlier: collections::VecDeque<(time::Duration, Items)>,
}

impl VmList {
    /// Returns the items at `time`, or in the oldest kept state if that one is dropped.
    pub fn at(&self, time: time::Duration) -> impl Iterator<Item = &vm::Vm> {
        self.items_at(time).values()
    }

    /// Adds or replaces an item at time `now`.
    ///
    /// # Errors
    ///
    /// Returns a reason if the list is full.
    pub fn insert(&mut self, item: vm::Vm, now: time::Duration) -> Result<(), String> {
        if self.present.len() >= MAX_VMS && !self.present.contains_key(&item.id) {
            return Err(format!("the list already holds {MAX_VMS} VMs"));
        }
        self.keep(now);
        self.present.insert(item.id.clone(), item);
        Ok(())
    }

    /// Removes an item at time `now`, and returns whether it was listed.
    pub fn remove(&mut self, id: &str, now: time::Duration) -> bool {
        if !self.present.contains_key(id) {
            return false;
        }
        self.keep(now);
        self.present.remove(id).is_some()
    }

    fn items_at(&self, time: time::Duration) -> &Items {
        if self.changed_at <= time {
            return &self.present;
        }
        let mut kept = self.earlier.iter().rev();
        let shown = kept.find(|(changed_at, _)| *changed_at <= time);
        shown
            .or_else(|| self.earlier.front())
            .map_or(&self.present, |(_, items)| items)
    }

    fn keep(&mut self, now: time::Duration) {
        self.earlier
            .push_back((self.changed_at, self.present.clone()));
        self.changed_at = now;
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
    }
}
