//! Load pattern: bursts of short requests.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::forward::placement;

use crate::fixtures;

#[gtest]
fn short_requests_are_packed_so_that_other_engines_stay_free_to_prefill() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(16);

    let mut primaries = collections::BTreeSet::new();
    for i in 0..26_u32 {
        let now = fixtures::START + time::Duration::from_millis(50) * i;
        let (placed, key) = fleet.send(&fixtures::short_request(now), now);
        fleet
            .load_tracker
            .record_first_event(&key, now + time::Duration::from_millis(40));
        primaries.insert(placed.primary);
    }

    verify_that!(primaries.len(), le(3))
}

#[gtest]
fn short_request_avoids_engine_that_prefills_a_long_prompt() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(3);
    fleet.decode_short_requests("engine-00", 4, fixtures::START);
    let mut job = placement::Placed::plain(&"engine-00".to_owned())
        .job(&fixtures::long_request(400_000, fixtures::START));
    job.shard_ms = 3_000.0;
    fleet.start(job, fixtures::START);

    let placed = fleet.place(&fixtures::short_request(fixtures::START), fixtures::START);

    verify_that!(placed.expect("a placement").primary, not(eq("engine-00")))
}

#[gtest]
fn server_without_a_free_slot_gets_no_request() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    fleet.decode_short_requests("engine-00", 16, fixtures::START);

    let placed = fleet.place(&fixtures::short_request(fixtures::START), fixtures::START);

    verify_that!(
        placed,
        err(matches_pattern!(placement::NotPlaced::Full { .. }))
    )
}

#[gtest]
fn short_request_that_only_a_blocked_engine_could_serve_is_refused_at_once() -> Result<()> {
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
fn burst_on_a_large_fleet_is_spread_as_far_as_others_stay_free_to_prefill() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(78);
    let mut primaries: collections::HashMap<String, usize> = collections::HashMap::new();

    // 300 requests within about two seconds, all of which are still decoding.
    for i in 0..300_u32 {
        let now = fixtures::START + time::Duration::from_millis(7) * i;
        let (placed, key) = fleet.send(&fixtures::short_request(now), now);
        let read_at = now + time::Duration::from_millis(5);
        fleet.load_tracker.record_first_event(&key, read_at);
        *primaries.entry(placed.primary).or_default() += 1;
    }

    expect_that!(primaries.values().copied().max(), some(le(8)));
    verify_that!(primaries.len(), all![ge(45), le(62)])
}
