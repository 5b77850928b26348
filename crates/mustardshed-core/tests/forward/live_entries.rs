//! Which entries clients are told of.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::live_entries;

use crate::fixtures;

fn entry(front: &str, takes_work: bool) -> live_entries::Entry {
    live_entries::Entry {
        front: front.to_owned(),
        data_centre: "north".to_owned(),
        takes_work,
    }
}

fn fronts(roster: &live_entries::LiveEntries, now: time::Duration) -> Vec<String> {
    roster
        .fronts(now)
        .map(|entry| entry.front.clone())
        .collect()
}

#[gtest]
fn silent_entry_is_named_no_longer_and_then_dead() -> Result<()> {
    let mut roster = live_entries::LiveEntries::default();
    roster.update("entry-1", entry("10.0.0.1:80", true), fixtures::START);
    let silent = fixtures::START + live_entries::SUSPECT_AFTER;
    let dead = fixtures::START + live_entries::DEAD_AFTER;

    let named = fronts(&roster, fixtures::START);
    let named_when_silent = fronts(&roster, silent);
    let removed_when_silent = roster.remove_dead(silent);
    let removed = roster.remove_dead(dead);

    expect_that!(named, elements_are![eq("10.0.0.1:80")]);
    expect_that!(named_when_silent, is_empty());
    expect_that!(removed_when_silent, is_empty());
    verify_that!(removed, elements_are![eq("entry-1")])
}

#[gtest]
fn entry_that_takes_no_work_is_not_named() -> Result<()> {
    let mut roster = live_entries::LiveEntries::default();
    roster.update("entry-1", entry("10.0.0.1:80", true), fixtures::START);
    roster.update("entry-1", entry("10.0.0.1:80", false), fixtures::START);

    expect_that!(fronts(&roster, fixtures::START), is_empty());
    verify_that!(roster.alive_count(fixtures::START), eq(1))
}

#[gtest]
fn later_words_of_an_entry_are_kept_whoever_passes_on_earlier_ones() -> Result<()> {
    let mut roster = live_entries::LiveEntries::default();
    let early = fixtures::START;
    let late = early + time::Duration::from_millis(100);

    roster.update("entry-1", entry("10.0.0.1:80", false), late);
    roster.update("entry-1", entry("10.0.0.1:80", true), early);

    verify_that!(fronts(&roster, late), is_empty())
}
