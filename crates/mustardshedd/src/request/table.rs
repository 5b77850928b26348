//! Shared values by name, read without locks.

use std::{collections, sync};

/// Shared values by name; a value is made when its name is first asked for.
///
/// Reading takes no lock. Names come from the operators' text, so that there are few.
#[derive(Debug)]
pub struct Table<T> {
    entries: arc_swap::ArcSwap<collections::BTreeMap<String, sync::Arc<T>>>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            entries: arc_swap::ArcSwap::from_pointee(collections::BTreeMap::new()),
        }
    }
}

impl<T: Default> Table<T> {
    /// Returns the value of a name.
    pub fn get(&self, name: &str) -> sync::Arc<T> {
        if let Some(value) = self.entries.load().get(name) {
            return sync::Arc::clone(value);
        }
        let value = sync::Arc::new(T::default());
        self.entries.rcu(|entries| {
            let mut entries = collections::BTreeMap::clone(entries);
            entries
                .entry(name.to_owned())
                .or_insert_with(|| sync::Arc::clone(&value));
            entries
        });
        self.entries
            .load()
            .get(name)
            .map_or(value, sync::Arc::clone)
    }
}
