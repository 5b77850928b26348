//! Load pattern: all entries of a small fleet are stopped within seconds of one another.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::planned_stop;

use crate::fixtures;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Time from the beginning of a planned stop to its end.
const STOP: time::Duration = ms(7_200);

fn takes(since: time::Duration, has_others: bool, longest: time::Duration) -> bool {
    planned_stop::accepts_stream(since, STOP.saturating_sub(since), has_others, longest)
}

#[gtest]
fn stream_that_others_can_accept_goes_to_them() -> Result<()> {
    verify_that!(takes(ms(4_000), true, ms(500)), eq(false))
}

#[gtest]
fn short_stream_is_served_to_the_end_where_nobody_else_accepts_it() -> Result<()> {
    let short = fixtures::short_request(fixtures::START);
    let longest = planned_stop::max_duration(&fixtures::profile(), &short, 1_600, 1.0);

    expect_that!(takes(ms(4_000), false, longest), eq(true));
    verify_that!(takes(ms(5_500), false, longest), eq(false))
}

#[gtest]
fn long_stream_that_might_be_cut_off_is_refused_at_once() -> Result<()> {
    let long = fixtures::long_request(210_000, fixtures::START);
    let longest = planned_stop::max_duration(&fixtures::profile(), &long, 1_600, 1.0);

    verify_that!(takes(ms(3_000), false, longest), eq(false))
}

// Guards against streams that are accepted for a slow server by the speed of its profile, and cut at
// the end of the stop (LOST).
#[gtest]
fn short_stream_that_a_slow_server_cannot_finish_in_time_is_refused() -> Result<()> {
    let short = fixtures::short_request(fixtures::START);
    let of_profile = planned_stop::max_duration(&fixtures::profile(), &short, 2_000, 1.0);
    let slow = planned_stop::max_duration(&fixtures::profile(), &short, 2_000, 2.2);

    expect_that!(takes(ms(3_100), false, of_profile), eq(true));
    verify_that!(takes(ms(3_100), false, slow), eq(false))
}

#[gtest]
fn stream_whose_client_may_not_know_yet_is_accepted_if_it_ends_in_time() -> Result<()> {
    expect_that!(takes(ms(2_900), true, ms(4_000)), eq(true));
    verify_that!(takes(ms(2_900), true, ms(4_400)), eq(false))
}

// Guards against calls that are passed on and cut at the end of the stop (LOST).
#[gtest]
fn call_is_accepted_only_if_it_is_given_up_before_the_stop_ends() -> Result<()> {
    expect_that!(planned_stop::accepts_call(ms(1_001), ms(1_000)), eq(true));
    expect_that!(planned_stop::accepts_call(ms(1_000), ms(1_000)), eq(false));
    verify_that!(planned_stop::accepts_call(ms(0), ms(0)), eq(false))
}
