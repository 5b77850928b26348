//! Load pattern: clients keep using a revoked key.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::negative_cache;

use crate::fixtures;

const LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// Uses `key` every 50 ms for six seconds; returns how often it is looked up.
fn looks(known: &mut negative_cache::NegativeCache, key: &str) -> usize {
    let times = (0..120_u32).map(|i| fixtures::START + time::Duration::from_millis(50) * i);
    let mut looks = 0;
    for now in times {
        if !known.contains(key, LIMIT, now) {
            known.insert(key, LIMIT, now);
            looks += 1;
        }
    }
    looks
}

#[gtest]
fn withdrawn_key_is_looked_for_once_in_the_time_that_a_change_takes() -> Result<()> {
    let mut known = negative_cache::NegativeCache::default();

    let looks = looks(&mut known, "key-1");

    verify_that!(looks, le(4))
}

#[gtest]
fn each_key_is_looked_for_when_it_first_comes() -> Result<()> {
    let mut known = negative_cache::NegativeCache::default();
    known.insert("key-1", LIMIT, fixtures::START);

    let other = known.contains("key-2", LIMIT, fixtures::START);

    verify_that!(other, eq(false))
}

#[gtest]
fn keys_without_end_take_no_memory_without_end() -> Result<()> {
    let mut known = negative_cache::NegativeCache::default();
    for i in 0..100_000 {
        known.insert(&format!("guess-{i}"), LIMIT, fixtures::START);
    }
    let later = fixtures::START + LIMIT * 2;

    let beyond = known.contains("guess-99999", LIMIT, fixtures::START);
    known.insert("key-1", LIMIT, later);

    expect_that!(beyond, eq(false));
    verify_that!(known.contains("key-1", LIMIT, later), eq(true))
}
