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
const LOOK: time::Duration = time::Duration::from_millis(40);
/// Time at which the short requests have ended.
const WAVE_ENDS: time::Duration = time::Duration::from_millis(400);

/// Returns twelve engines that all decode short requests, and the keys of these requests.
fn fleet() -> (
    fixtures::Fleet,
    Vec<mustardshed_core::forward::load_tracker::JobKey>,
) {
    let mut fleet = fixtures::Fleet::new(12);
    let mut drafts = Vec::new();
    for server in fixtures::servers(12) {
        for _ in 0..4 {
            let need = fixtures::short_request(fixtures::START);
            let mut job = placement::Placed::plain(&server.id).job(&need);
            job.is_decoding = true;
            drafts.push(fleet.start(job, fixtures::START));
        }
    }
    (fleet, drafts)
}

fn weigh(
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
fn book_goes_when_the_drafts_are_written_and_not_before() -> Result<()> {
    let (mut fleet, drafts) = fleet();
    let ended = fixtures::START + WAVE_ENDS;

    let at_once = weigh(&fleet, fixtures::START);
    for key in &drafts {
        fleet.ledger.end(key, ended);
    }
    let later = weigh(&fleet, ended + LOOK);

    expect_that!(
        at_once,
        err(matches_pattern!(placement::NotPlaced::TooCostly { .. }))
    );
    let waited_ms = (WAVE_ENDS + LOOK).as_secs_f64() * 1_000.0;
    verify_that!(
        later.expect("a place").estimate_ms + waited_ms,
        lt(0.65 * 3_000.0)
    )
}

#[gtest]
fn book_pays_its_whole_weight_before_it_is_refused() -> Result<()> {
    let (fleet, _drafts) = fleet();
    let last_look = fixtures::START + cost_limit::max_wait(OBJECTIVE);

    let placed = weigh(&fleet, last_look);

    verify_that!(placed, ok(anything()))
}

#[gtest]
fn draft_whose_objective_leaves_no_time_does_not_wait_for_a_lower_price() -> Result<()> {
    let objective = time::Duration::from_millis(300);

    let share = cost_limit::share(time::Duration::ZERO, objective);

    verify_that!(share, eq(1.0))
}
