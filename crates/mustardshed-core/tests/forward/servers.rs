//! Servers that fail, are cold, or belong to a plain service.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::{load_tracker, placement};

use crate::fixtures;

const MOMENT: time::Duration = time::Duration::from_millis(10);

fn least_loaded(
    load_tracker: &load_tracker::LoadTracker,
    servers: &[mustardshed_core::forward::server::Server],
    now: time::Duration,
) -> std::result::Result<String, placement::NotPlaced> {
    placement::least_loaded(load_tracker, &fixtures::candidates(servers), now).cloned()
}

#[gtest]
fn unreachable_server_is_ejected_and_then_gets_one_request_at_a_time() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    fleet
        .load_tracker
        .health_mut("engine-00")
        .record_unreachable(fixtures::START);
    let soon = fixtures::START + MOMENT;
    let later = fixtures::START + time::Duration::from_secs(1);

    let avoided = least_loaded(&fleet.load_tracker, &fleet.servers, soon);
    let first = least_loaded(&fleet.load_tracker, &fleet.servers, later);
    fleet.decode_short_requests("engine-00", 1, later);
    let second = least_loaded(&fleet.load_tracker, &fleet.servers, later);
    fleet.load_tracker.health_mut("engine-00").record_success();
    let third = least_loaded(&fleet.load_tracker, &fleet.servers, later);

    expect_that!(avoided, err(eq(&placement::NotPlaced::NoServer)));
    expect_that!(first, ok(eq("engine-00")));
    expect_that!(second, err(eq(&placement::NotPlaced::NoServer)));
    verify_that!(third, ok(eq("engine-00")))
}

#[gtest]
fn failing_server_is_chosen_after_healthy_ones() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(2);
    fleet
        .load_tracker
        .health_mut("engine-00")
        .record_failure(fixtures::START);

    let chosen = least_loaded(&fleet.load_tracker, &fleet.servers, fixtures::START);

    verify_that!(chosen, ok(eq("engine-01")))
}

#[gtest]
fn cold_server_gets_no_more_in_a_second_than_its_limit() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    let servers = fleet.servers.clone();
    let mut candidates = fixtures::candidates(&servers);
    candidates[0].cold_rate_limit = Some(3.0);

    let mut sent = 0;
    for _ in 0..10 {
        if placement::least_loaded(&fleet.load_tracker, &candidates, fixtures::START).is_ok() {
            fleet.decode_short_requests("engine-00", 1, fixtures::START);
            sent += 1;
        }
    }
    let later = fixtures::START + time::Duration::from_millis(1_200);
    let again = placement::least_loaded(&fleet.load_tracker, &candidates, later);

    expect_that!(sent, eq(3));
    verify_that!(again.is_ok(), eq(true))
}

#[gtest]
fn least_loaded_server_is_chosen() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(3);
    fleet.decode_short_requests("engine-00", 2, fixtures::START);
    fleet.decode_short_requests("engine-02", 1, fixtures::START);

    let chosen = least_loaded(&fleet.load_tracker, &fleet.servers, fixtures::START);

    verify_that!(chosen, ok(eq("engine-01")))
}

#[gtest]
fn call_is_refused_as_full_while_this_entry_has_no_share_left() -> Result<()> {
    let fleet = fixtures::Fleet::new(2);
    let mut candidates = fixtures::candidates(&fleet.servers);
    candidates[0].share_left = Some(0);
    candidates[1].share_left = Some(1);
    let choose = |candidates: &[placement::Candidate<'_>]| {
        placement::least_loaded(&fleet.load_tracker, candidates, fixtures::START).cloned()
    };

    let with_share = choose(&candidates);
    candidates[1].share_left = Some(0);
    let without_share = choose(&candidates);

    expect_that!(with_share, ok(eq("engine-01")));
    verify_that!(
        without_share,
        err(matches_pattern!(placement::NotPlaced::Full { .. }))
    )
}

#[gtest]
fn server_that_limits_its_rate_is_not_ordered_to_hold_memory() -> Result<()> {
    let fleet = fixtures::Fleet::new(8);
    let need = fixtures::long_request(500_000, fixtures::START);
    let place = |is_rate_limited: bool| {
        let mut candidates = fixtures::candidates(&fleet.servers);
        for candidate in &mut candidates {
            candidate.is_rate_limited = is_rate_limited;
        }
        let profile = fixtures::profile();
        placement::place(
            &fleet.load_tracker,
            &candidates,
            &profile,
            &need,
            fixtures::START,
        )
    };
    let held = |placed: &placement::Placed| {
        let helpers = placed.helpers.iter();
        helpers.map(|helper| helper.held_tokens).sum::<u64>()
    };

    let unlimited = place(false);
    let limited = place(true);

    expect_that!(unlimited.as_ref().map(held), ok(gt(0)));
    verify_that!(limited, err(anything()))
}
