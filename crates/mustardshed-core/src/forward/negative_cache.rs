//! Keys and paths that were lately looked for on the platform in vain.
//!
//! Load pattern that this answers: callers go on with a key that was withdrawn, or ask again and
//! again for a path that does not exist. The first request of each has the entry look at the
//! platform; the others are refused by what is known, while that is recent enough.

use std::{
    collections,
    hash::{self, BuildHasher},
    time,
};

use crate::ids;

/// Most keys and paths that are kept; more of them are looked for each time.
const MAX_ENTRIES: usize = 1_024;

/// What was looked for in vain, and when.
#[derive(Debug, Default)]
pub struct NegativeCache {
    missed_at: collections::HashMap<u64, ids::Timestamp>,
    // Keys of accounts are not kept in the clear; the seed differs from process to process.
    hasher: hash::RandomState,
}

impl NegativeCache {
    /// Returns whether `name` was looked for in vain within the last `limit`.
    #[must_use]
    pub fn contains(&self, name: &str, limit: time::Duration, now: ids::Timestamp) -> bool {
        let looked_at = self.missed_at.get(&self.hasher.hash_one(name));
        looked_at.is_some_and(|at| now.saturating_sub(*at) <= limit)
    }

    /// Takes that `name` was looked for in vain; what is older than `limit` is forgotten.
    pub fn insert(&mut self, name: &str, limit: time::Duration, now: ids::Timestamp) {
        if self.missed_at.len() >= MAX_ENTRIES {
            self.missed_at
                .retain(|_, at| now.saturating_sub(*at) <= limit);
        }
        if self.missed_at.len() < MAX_ENTRIES {
            self.missed_at.insert(self.hasher.hash_one(name), now);
        }
    }
}
