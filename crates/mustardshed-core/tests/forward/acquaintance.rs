//! Entries that were just started, and what their peers have told them.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{
    forward::{acquaintance, relays},
    ids,
};

use crate::fixtures;

const OTHERS: [&str; 2] = ["entry-1", "entry-2"];

fn after(ms: u64) -> ids::Timestamp {
    fixtures::START + time::Duration::from_millis(ms)
}

fn mesh() -> relays::Links {
    relays::Links::Mesh(OTHERS.map(str::to_owned).to_vec())
}

fn leaf() -> relays::Links {
    relays::Links::Leaf(OTHERS.map(str::to_owned).to_vec())
}

/// Returns whether prompts may be placed `ms` after the start.
fn is_complete(
    mut acquaintance: acquaintance::Acquaintance,
    links: Option<&relays::Links>,
    ms: u64,
) -> bool {
    acquaintance.update(links, after(ms));
    acquaintance.is_complete()
}

fn started() -> acquaintance::Acquaintance {
    acquaintance::Acquaintance::new(fixtures::START)
}

#[gtest]
fn prompts_wait_until_each_peer_has_told_its_requests() -> Result<()> {
    let mut one = started();
    one.record_heard("entry-1");
    let mut both = started();
    both.record_heard("entry-1");
    both.record_heard("entry-2");

    expect_that!(is_complete(one, Some(&mesh()), 20), is_false());
    verify_that!(is_complete(both, Some(&mesh()), 20), is_true())
}

// Guards against prompts that wait for entries which are gone and still registered.
#[gtest]
fn peers_that_are_not_reached_are_not_waited_for() -> Result<()> {
    let mut acquaintance = started();
    acquaintance.record_heard("entry-1");
    acquaintance.record_unreached("entry-2");

    verify_that!(is_complete(acquaintance, Some(&mesh()), 20), is_true())
}

#[gtest]
fn leaf_waits_for_its_relay() -> Result<()> {
    let mut told = started();
    told.record_relay();
    let mut without = started();
    without.record_unreached("entry-1");

    expect_that!(is_complete(started(), Some(&leaf()), 20), is_false());
    expect_that!(is_complete(told, Some(&leaf()), 20), is_true());
    verify_that!(is_complete(without, Some(&leaf()), 20), is_true())
}

#[gtest]
fn only_entry_of_a_fleet_waits_for_nobody() -> Result<()> {
    let alone = relays::Links::Mesh(Vec::new());

    verify_that!(is_complete(started(), Some(&alone), 0), is_true())
}

// Guards against prompts that are not served at an entry whose peers or platform do not answer.
#[gtest]
fn wait_ends_though_nobody_is_heard() -> Result<()> {
    expect_that!(is_complete(started(), None, 399), is_false());
    expect_that!(is_complete(started(), None, 400), is_true());
    verify_that!(is_complete(started(), Some(&mesh()), 400), is_true())
}
