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
        is_cut_off: false,
    }
}

fn fronts(entries: &live_entries::LiveEntries, now: time::Duration) -> Vec<String> {
    entries
        .fronts(now)
        .map(|entry| entry.front.clone())
        .collect()
}

#[gtest]
fn silent_entry_is_no_longer_advertised_and_then_dead() -> Result<()> {
    let mut entries = live_entries::LiveEntries::default();
    entries.update("entry-1", entry("10.0.0.1:80", true), fixtures::START);
    let silent = fixtures::START + live_entries::SUSPECT_AFTER;
    let dead = fixtures::START + live_entries::DEAD_AFTER;

    let named = fronts(&entries, fixtures::START);
    let named_when_silent = fronts(&entries, silent);
    let removed_when_silent = entries.remove_dead(silent);
    let removed = entries.remove_dead(dead);

    expect_that!(named, elements_are![eq("10.0.0.1:80")]);
    expect_that!(named_when_silent, is_empty());
    expect_that!(removed_when_silent, is_empty());
    verify_that!(removed, elements_are![eq("entry-1")])
}

#[gtest]
fn entry_that_takes_no_work_is_not_advertised() -> Result<()> {
    let mut entries = live_entries::LiveEntries::default();
    entries.update("entry-1", entry("10.0.0.1:80", true), fixtures::START);
    entries.update("entry-1", entry("10.0.0.1:80", false), fixtures::START);

    expect_that!(fronts(&entries, fixtures::START), is_empty());
    verify_that!(entries.alive_count(fixtures::START), eq(1))
}

#[gtest]
fn latest_report_of_an_entry_wins_over_relayed_earlier_ones() -> Result<()> {
    let mut entries = live_entries::LiveEntries::default();
    let early = fixtures::START;
    let late = early + time::Duration::from_millis(100);

    entries.update("entry-1", entry("10.0.0.1:80", false), late);
    entries.update("entry-1", entry("10.0.0.1:80", true), early);

    verify_that!(fronts(&entries, late), is_empty())
}
