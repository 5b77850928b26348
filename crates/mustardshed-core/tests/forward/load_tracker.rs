//! The tracker of work in flight.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{
    forward::{load_tracker, placement},
    ids,
};

use crate::fixtures;

fn job(home: &str, helpers: &[&str], shard_ms: f64) -> load_tracker::Job {
    let need = fixtures::long_request(200_000, fixtures::START);
    let mut job = placement::Placed::plain(&home.to_owned()).job(&need);
    let helpers = helpers.iter().map(|helper| load_tracker::Helper {
        server: (*helper).to_owned(),
        held_tokens: 0,
    });
    job.helpers = helpers.collect();
    job.shard_ms = shard_ms;
    job
}

fn done_ms(
    load_tracker: &load_tracker::LoadTracker,
    server: &str,
    now: ids::Timestamp,
) -> Vec<(u64, f64)> {
    let load = load_tracker.load(server, now);
    let prefills = load.prefills.iter();
    prefills
        .map(|prefill| (prefill.key.number, prefill.done_ms))
        .collect()
}

#[gtest]
fn newest_shard_of_a_shared_prompt_is_prefilled_first() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(2);
    fleet.start(job("engine-00", &["engine-01"], 300.0), fixtures::START);
    fleet.start(job("engine-01", &["engine-00"], 100.0), fixtures::START);

    let done = done_ms(&fleet.load_tracker, "engine-00", fixtures::START);

    verify_that!(done, elements_are![eq(&(2, 100.0)), eq(&(1, 400.0))])
}

#[gtest]
fn prompt_that_is_prefilled_alone_waits_for_its_turn() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(2);
    fleet.start(job("engine-00", &["engine-01"], 300.0), fixtures::START);
    fleet.start(job("engine-00", &[], 50.0), fixtures::START);

    let done = done_ms(&fleet.load_tracker, "engine-00", fixtures::START);

    verify_that!(done, elements_are![eq(&(1, 300.0)), eq(&(2, 350.0))])
}

#[gtest]
fn elapsed_time_is_subtracted_from_the_first_prefill() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    fleet.start(job("engine-00", &[], 300.0), fixtures::START);
    fleet.start(job("engine-00", &[], 50.0), fixtures::START);
    let later = fixtures::START + time::Duration::from_millis(320);

    let done = done_ms(&fleet.load_tracker, "engine-00", later);

    expect_that!(done[0].1, near(0.0, 0.001));
    verify_that!(done[1].1, near(30.0, 0.001))
}

#[gtest]
fn first_event_and_end_clear_a_request_on_all_servers() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(2);
    let key = fleet.start(job("engine-00", &["engine-01"], 300.0), fixtures::START);

    fleet.load_tracker.record_first_event(&key, fixtures::START);
    let decoding = fleet
        .load_tracker
        .load("engine-00", fixtures::START)
        .decoding
        .len();
    let pending = done_ms(&fleet.load_tracker, "engine-01", fixtures::START).len();
    fleet.load_tracker.end(&key, fixtures::START);

    expect_that!(decoding, eq(1));
    expect_that!(pending, eq(0));
    verify_that!(fleet.load_tracker.in_flight("engine-00"), eq(0))
}

#[gtest]
fn work_of_an_entry_that_died_is_forgotten() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(2);
    fleet.start(job("engine-00", &["engine-01"], 300.0), fixtures::START);

    fleet.load_tracker.remove_entry("entry-2", fixtures::START);
    let kept = fleet.load_tracker.in_flight("engine-00");
    fleet.load_tracker.remove_entry("entry-1", fixtures::START);

    expect_that!(kept, eq(1));
    verify_that!(fleet.load_tracker.in_flight("engine-00"), eq(0))
}

#[gtest]
fn memory_counts_where_the_prompt_is_held() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(2);
    let mut job = job("engine-00", &["engine-01"], 300.0);
    job.helpers[0].held_tokens = 80_000;
    fleet.start(job, fixtures::START);

    let home = fleet
        .load_tracker
        .load("engine-00", fixtures::START)
        .memory_tokens;
    let helper = fleet
        .load_tracker
        .load("engine-01", fixtures::START)
        .memory_tokens;

    expect_that!(home, eq(121_500));
    verify_that!(helper, eq(80_000))
}
