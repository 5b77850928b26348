//! Shared values by name, read without locks.

use std::{collections, sync};

/// Shared values by name; a value is made when its name is first asked for.
///
/// Reading takes no lock. Names come from the operators' text, so that there are few.
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
    /// Returns the value of a name.
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
