//! Map of shared values that is read without locks.

use std::{collections, sync};

/// Map from names to shared values; a value is created when its name is first looked up.
///
/// Lookups take no lock. An insertion copies the map, and values are never removed: names come from
/// the configuration, so that there are few.
#[derive(Debug)]
pub struct LazyMap<T> {
    map: arc_swap::ArcSwap<collections::BTreeMap<String, sync::Arc<T>>>,
}

impl<T> Default for LazyMap<T> {
    fn default() -> Self {
        Self {
            map: arc_swap::ArcSwap::from_pointee(collections::BTreeMap::new()),
        }
    }
}

impl<T: Default> LazyMap<T> {
    /// Returns the value of a name; creates it if it is missing.
    pub fn get(&self, name: &str) -> sync::Arc<T> {
        if let Some(value) = self.map.load().get(name) {
            return sync::Arc::clone(value);
        }
        let value = sync::Arc::new(T::default());
        self.map.rcu(|entries| {
            let mut entries = collections::BTreeMap::clone(entries);
            entries
                .entry(name.to_owned())
                .or_insert_with(|| sync::Arc::clone(&value));
            entries
        });
        self.map.load().get(name).map_or(value, sync::Arc::clone)
    }
}
