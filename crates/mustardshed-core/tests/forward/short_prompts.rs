//! Load pattern: bursts of short requests.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::forward::placement;

use crate::fixtures;

#[gtest]
fn drafts_are_kept_together_so_that_other_engines_stay_free_to_read() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(16);

    let mut homes = collections::BTreeSet::new();
    for i in 0..26_u32 {
        let now = fixtures::START + time::Duration::from_millis(50) * i;
        let (placed, key) = fleet.send(&fixtures::short_request(now), now);
        fleet
            .ledger
            .record_first_event(&key, now + time::Duration::from_millis(40));
        homes.insert(placed.primary);
    }

    verify_that!(homes.len(), le(3))
}

#[gtest]
fn draft_avoids_engine_on_which_a_long_prompt_is_read() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(3);
    fleet.decode_short_requests("engine-00", 4, fixtures::START);
    let mut job = placement::Placed::plain(&"engine-00".to_owned())
        .job(&fixtures::long_request(400_000, fixtures::START));
    job.shard_ms = 3_000.0;
    fleet.start(job, fixtures::START);

    let placed = fleet.place(&fixtures::short_request(fixtures::START), fixtures::START);

    verify_that!(placed.expect("a place").primary, not(eq("engine-00")))
}

#[gtest]
fn server_without_a_free_place_gets_no_draft() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    fleet.decode_short_requests("engine-00", 16, fixtures::START);

    let placed = fleet.place(&fixtures::short_request(fixtures::START), fixtures::START);

    verify_that!(
        placed,
        err(matches_pattern!(placement::NotPlaced::Full { .. }))
    )
}

#[gtest]
fn draft_that_only_a_blocked_engine_could_serve_is_refused_at_once() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    let mut job = placement::Placed::plain(&"engine-00".to_owned())
        .job(&fixtures::long_request(200_000, fixtures::START));
    job.shard_ms = 30_000.0;
    fleet.start(job, fixtures::START);

    let placed = fleet.place(&fixtures::short_request(fixtures::START), fixtures::START);

    verify_that!(
        placed,
        err(matches_pattern!(placement::NotPlaced::TooLate { .. }))
    )
}

#[gtest]
fn wave_of_drafts_on_a_large_fleet_is_spread_as_far_as_others_stay_free_to_read() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(78);
    let mut homes: collections::HashMap<String, usize> = collections::HashMap::new();

    // 300 requests within about two seconds, all of which are still decoding.
    for i in 0..300_u32 {
        let now = fixtures::START + time::Duration::from_millis(7) * i;
        let (placed, key) = fleet.send(&fixtures::short_request(now), now);
        let read_at = now + time::Duration::from_millis(5);
        fleet.ledger.record_first_event(&key, read_at);
        *homes.entry(placed.primary).or_default() += 1;
    }

    expect_that!(homes.values().copied().max(), some(le(8)));
    verify_that!(homes.len(), all![ge(45), le(62)])
}
