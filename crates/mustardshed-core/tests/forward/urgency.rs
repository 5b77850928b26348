//! Load pattern: long prompts that have seconds to spare, beside short requests of a more urgent route.

use googletest::prelude::*;
use mustardshed_core::forward::{placement, urgency};

use crate::fixtures;

/// Engines on which short requests decode.
const ENGINES: usize = 2;
/// Short requests on each of them.
const SHORT_REQUESTS: usize = 6;

/// Places a long request beside short ones that count `factor` times as much as by their length.
fn place_beside(factor: f64) -> std::result::Result<placement::Placed, placement::NotPlaced> {
    let mut fleet = fixtures::Fleet::new(ENGINES);
    for server in fixtures::servers(ENGINES) {
        for _ in 0..SHORT_REQUESTS {
            let need = placement::Need {
                urgency: factor,
                ..fixtures::short_request(fixtures::START)
            };
            let mut job = placement::Placed::plain(&server.id).job(&need);
            job.is_decoding = true;
            fleet.start(job, fixtures::START);
        }
    }
    fleet.place(
        &fixtures::long_request(140_000, fixtures::START),
        fixtures::START,
    )
}

// Guards against waves of long prompts that make more urgent short requests late.
#[gtest]
fn long_request_does_not_delay_short_ones_of_a_more_urgent_route() -> Result<()> {
    expect_that!(place_beside(1.0), ok(anything()));
    verify_that!(
        place_beside(urgency::factor(0, 2)),
        err(matches_pattern!(placement::NotPlaced::TooCostly { .. }))
    )
}

// Guards against a change where the routes of a service have the same priority.
#[gtest]
fn requests_of_the_least_urgent_route_count_by_their_length() -> Result<()> {
    expect_that!(urgency::factor(1, 1), eq(1.0));
    verify_that!(urgency::factor(3, 1), eq(1.0))
}

// Guards against ranks so far apart that the least urgent requests starve.
#[gtest]
fn factor_is_bounded_for_any_priorities() -> Result<()> {
    expect_that!(urgency::factor(0, 1), gt(1.0));
    verify_that!(urgency::factor(0, u8::MAX), eq(urgency::factor(0, 2)))
}
