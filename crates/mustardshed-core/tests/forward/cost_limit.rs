//! Load pattern: a burst of long prompts arrives while a burst of short requests is still decoding.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{
    forward::{cost_limit, placement},
    ids,
};

use crate::fixtures;

/// Objective of a long request.
const OBJECTIVE: time::Duration = time::Duration::from_secs(3);
/// Interval between attempts to place it.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Time at which the short requests have ended.
const BURST_ENDS: time::Duration = time::Duration::from_millis(400);

/// Returns twelve engines that all decode short requests, and the keys of these requests.
fn fleet() -> (
    fixtures::Fleet,
    Vec<mustardshed_core::forward::load_tracker::JobKey>,
) {
    let mut fleet = fixtures::Fleet::new(12);
    let mut short_requests = Vec::new();
    for server in fixtures::servers(12) {
        for _ in 0..4 {
            let need = fixtures::short_request(fixtures::START);
            let mut job = placement::Placed::plain(&server.id).job(&need);
            job.is_decoding = true;
            short_requests.push(fleet.start(job, fixtures::START));
        }
    }
    (fleet, short_requests)
}

fn place(
    fleet: &fixtures::Fleet,
    now: ids::Timestamp,
) -> std::result::Result<placement::Placed, placement::NotPlaced> {
    let need = placement::Need {
        max_cost_share: cost_limit::share(now.saturating_sub(fixtures::START), OBJECTIVE),
        ..fixtures::long_request(300_000, fixtures::START)
    };
    fleet.place(&need, now)
}

#[gtest]
fn long_request_is_placed_once_the_short_ones_have_ended() -> Result<()> {
    let (mut fleet, short_requests) = fleet();
    let ended = fixtures::START + BURST_ENDS;

    let at_once = place(&fleet, fixtures::START);
    for key in &short_requests {
        fleet.load_tracker.end(key, ended);
    }
    let later = place(&fleet, ended + POLL_INTERVAL);

    expect_that!(
        at_once,
        err(matches_pattern!(placement::NotPlaced::TooCostly { .. }))
    );
    let waited_ms = (BURST_ENDS + POLL_INTERVAL).as_secs_f64() * 1_000.0;
    verify_that!(
        later.expect("a placement").estimate_ms + waited_ms,
        lt(0.65 * 3_000.0)
    )
}

#[gtest]
fn long_request_may_cost_its_whole_weight_before_it_is_refused() -> Result<()> {
    let (fleet, _short_requests) = fleet();
    let last_poll = fixtures::START + cost_limit::max_wait(OBJECTIVE);

    let placed = place(&fleet, last_poll);

    verify_that!(placed, ok(anything()))
}

#[gtest]
fn request_whose_objective_leaves_no_time_does_not_wait_for_a_lower_cost() -> Result<()> {
    let objective = time::Duration::from_millis(300);

    let share = cost_limit::share(time::Duration::ZERO, objective);

    verify_that!(share, eq(1.0))
}
