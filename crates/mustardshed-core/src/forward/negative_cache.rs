//! Negative cache of keys and paths that the platform did not know when last asked.
//!
//! Load pattern addressed: clients keep using a revoked key, or keep requesting a path that does
//! not exist. The first request for each makes the entry ask the platform; further ones are refused
//! from this cache while it is recent enough.

use std::{
    collections,
    hash::{self, BuildHasher},
    time,
};

use crate::ids;

/// Maximum number of cached keys and paths; any others are looked up each time.
const MAX_ENTRIES: usize = 1_024;

/// Hashes of unknown names, with the time of the lookup.
#[derive(Debug, Default)]
pub struct NegativeCache {
    missed_at: collections::HashMap<u64, ids::Timestamp>,
    // API keys are not kept in plain text; the hash seed differs between processes.
    hasher: hash::RandomState,
}

impl NegativeCache {
    /// Returns whether a lookup of `name` failed within the last `max_age`.
    #[must_use]
    pub fn contains(&self, name: &str, max_age: time::Duration, now: ids::Timestamp) -> bool {
        let missed_at = self.missed_at.get(&self.hasher.hash_one(name));
        missed_at.is_some_and(|at| now.saturating_sub(*at) <= max_age)
    }

    /// Records that a lookup of `name` failed; drops entries older than `max_age` if the cache is
    /// full.
    pub fn insert(&mut self, name: &str, max_age: time::Duration, now: ids::Timestamp) {
        if self.missed_at.len() >= MAX_ENTRIES {
            self.missed_at
                .retain(|_, at| now.saturating_sub(*at) <= max_age);
        }
        if self.missed_at.len() < MAX_ENTRIES {
            self.missed_at.insert(self.hasher.hash_one(name), now);
        }
    }
}
