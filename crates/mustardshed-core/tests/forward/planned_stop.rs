//! Load pattern: all entries of a small fleet are stopped within seconds of one another.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::{placement, planned_stop};

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

/// Returns a stream of up to 2,500 tokens that must be complete 4.1 s after the start.
fn stream_during_stop() -> placement::Need {
    placement::Need {
        stop: Some(planned_stop::Limit {
            ends_at: fixtures::START + ms(4_100),
            max_output_tokens: 2_500,
        }),
        ..fixtures::short_request(fixtures::START)
    }
}

/// Returns the engine time of the prefills that a server was sent for prompts of 120,000 tokens, one
/// each fifth of a second; refused prompts are left out.
fn prefill_ms(fleet: &mut fixtures::Fleet, server: &str, prompts: u64) -> f64 {
    let placed = (0..prompts).filter_map(|i| {
        let now = fixtures::START + ms(100 + 200 * i);
        let need = fixtures::long_request(120_000, now);
        let placed = fleet.place(&need, now).ok()?;
        fleet.start(placed.job(&need), now);
        Some(placed)
    });
    let here = placed.filter(|placed| fixtures::prefill_servers(placed).contains(&server));
    here.map(|placed| placed.shard_ms).sum()
}

// Guards against streams that are accepted during a planned stop and cut at its end, because their
// server is sent long prompts meanwhile (LOST).
#[gtest]
fn long_prompts_do_not_cut_a_stream_that_was_accepted_during_a_stop() -> Result<()> {
    let mut beside_any = fixtures::Fleet::new(3);
    let mut fleet = fixtures::Fleet::new(3);
    let any = fixtures::short_request(fixtures::START);
    let (any, _) = beside_any.send(&any, fixtures::START);
    let (stream, _) = fleet.send(&stream_during_stop(), fixtures::START);

    let without_protection = prefill_ms(&mut beside_any, &any.primary, 12);
    let work = prefill_ms(&mut fleet, &stream.primary, 12);

    let spare = stream.protection.map(|it| it.spare.as_secs_f64() * 1_000.0);
    expect_that!(spare, some(gt(1_000.0)));
    expect_that!(Some(without_protection), gt(spare));
    verify_that!(Some(work), le(spare))
}

#[gtest]
fn long_prompt_for_which_only_protected_servers_are_left_is_told_when_they_are_free() -> Result<()>
{
    let mut fleet = fixtures::Fleet::new(1);
    fleet.send(&stream_during_stop(), fixtures::START);
    prefill_ms(&mut fleet, "engine-00", 12);
    let now = fixtures::START + ms(2_600);

    let long = fleet.place(&fixtures::long_request(120_000, now), now);
    let retried = placement::Need {
        is_retry: true,
        ..fixtures::long_request(120_000, now)
    };
    let retried = fleet.place(&retried, now);

    let retry_after = ms(1_500);
    let expected = placement::NotPlaced::WouldCut { retry_after };
    expect_that!(long.err(), some(eq(expected)));
    verify_that!(retried, ok(anything()))
}

#[gtest]
fn short_requests_are_placed_beside_a_stream_that_was_accepted_during_a_stop() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    fleet.send(&stream_during_stop(), fixtures::START);

    for i in 1..=10 {
        let now = fixtures::START + ms(200 * i);
        fleet.send(&fixtures::short_request(now), now);
    }

    verify_that!(fleet.load_tracker.in_flight("engine-00"), eq(11))
}

// Guards against streams that are accepted for an idle server and placed on a busy one (LOST).
#[gtest]
fn stream_is_placed_where_it_ends_before_its_entry() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(1);
    let long = placement::Need {
        output_tokens: 4_000,
        ..fixtures::long_request(400_000, fixtures::START)
    };
    let mut job = placement::Placed::plain(&"engine-00".to_owned()).job(&long);
    job.is_decoding = true;
    fleet.start(job, fixtures::START);

    let on_the_busy_one = fleet.place(&stream_during_stop(), fixtures::START);
    fleet.servers = fixtures::servers(2);
    let on_any = fleet.place(&stream_during_stop(), fixtures::START);

    let placed = [on_the_busy_one, on_any].map(|placed| placed.expect("a placement"));
    let outlast = placed.each_ref().map(placement::Placed::outlasts_stop);
    verify_that!(outlast, eq([true, false]))
}
