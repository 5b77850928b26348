//! Load pattern: clients keep using a revoked key.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::negative_cache;

use crate::fixtures;

const LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// Uses `key` every 50 ms for six seconds; returns how often it is looked up.
fn lookups(cache: &mut negative_cache::NegativeCache, key: &str) -> usize {
    let times = (0..120_u32).map(|i| fixtures::START + time::Duration::from_millis(50) * i);
    let mut lookups = 0;
    for now in times {
        if !cache.contains(key, LIMIT, now) {
            cache.insert(key, LIMIT, now);
            lookups += 1;
        }
    }
    lookups
}

#[gtest]
fn revoked_key_is_looked_up_once_per_maximum_age() -> Result<()> {
    let mut cache = negative_cache::NegativeCache::default();

    let lookups = lookups(&mut cache, "key-1");

    verify_that!(lookups, le(4))
}

#[gtest]
fn each_key_is_looked_up_on_first_use() -> Result<()> {
    let mut cache = negative_cache::NegativeCache::default();
    cache.insert("key-1", LIMIT, fixtures::START);

    let other = cache.contains("key-2", LIMIT, fixtures::START);

    verify_that!(other, eq(false))
}

#[gtest]
fn unbounded_number_of_keys_takes_bounded_memory() -> Result<()> {
    let mut cache = negative_cache::NegativeCache::default();
    for i in 0..100_000 {
        cache.insert(&format!("guess-{i}"), LIMIT, fixtures::START);
    }
    let later = fixtures::START + LIMIT * 2;

    let beyond = cache.contains("guess-99999", LIMIT, fixtures::START);
    cache.insert("key-1", LIMIT, later);

    expect_that!(beyond, eq(false));
    verify_that!(cache.contains("key-1", LIMIT, later), eq(true))
}
