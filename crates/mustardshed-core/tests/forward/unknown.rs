//! Load pattern: callers go on with a key that was withdrawn.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::unknown;

use crate::fixtures;

const LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// Has a caller use `key` each 50 ms for six seconds; returns how often it is looked for.
fn looks(known: &mut unknown::Unknown, key: &str) -> usize {
    let times = (0..120_u32).map(|i| fixtures::START + time::Duration::from_millis(50) * i);
    let mut looks = 0;
    for now in times {
        if !known.was_looked_for(key, LIMIT, now) {
            known.looked_for(key, LIMIT, now);
            looks += 1;
        }
    }
    looks
}

#[gtest]
fn withdrawn_key_is_looked_for_once_in_the_time_that_a_change_takes() -> Result<()> {
    let mut known = unknown::Unknown::default();

    let looks = looks(&mut known, "key-1");

    verify_that!(looks, le(4))
}

#[gtest]
fn each_key_is_looked_for_when_it_first_comes() -> Result<()> {
    let mut known = unknown::Unknown::default();
    known.looked_for("key-1", LIMIT, fixtures::START);

    let other = known.was_looked_for("key-2", LIMIT, fixtures::START);

    verify_that!(other, eq(false))
}

#[gtest]
fn keys_without_end_take_no_memory_without_end() -> Result<()> {
    let mut known = unknown::Unknown::default();
    for i in 0..100_000 {
        known.looked_for(&format!("guess-{i}"), LIMIT, fixtures::START);
    }
    let later = fixtures::START + LIMIT * 2;

    let beyond = known.was_looked_for("guess-99999", LIMIT, fixtures::START);
    known.looked_for("key-1", LIMIT, later);

    expect_that!(beyond, eq(false));
    verify_that!(known.was_looked_for("key-1", LIMIT, later), eq(true))
}
