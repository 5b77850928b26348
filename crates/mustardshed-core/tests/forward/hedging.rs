//! Second attempts beside the first.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{
    forward::{hedging, routes},
    ids,
};

use crate::fixtures;

const ROUTE: &str = "again";
const SERVICE: &str = "drafts";
/// Nothing is expected of calls.
const NOTHING: time::Duration = time::Duration::ZERO;
/// Usual time of an answer; every tenth takes a little longer.
const USUAL: time::Duration = time::Duration::from_millis(100);
const INTERVAL: time::Duration = time::Duration::from_millis(50);
const IDLE: hedging::Slots = hedging::Slots {
    taken: 2,
    total: 16,
};

fn limits() -> hedging::Limits {
    hedging::Limits {
        max_share: 0.1,
        min_delay: time::Duration::from_millis(20),
        window: time::Duration::from_secs(10),
    }
}

fn usual(number: u32) -> time::Duration {
    USUAL + time::Duration::from_millis(u64::from(number % 10))
}

/// Sends `count` requests from `start` on, of which the first attempts take `first(number)` and the
/// second ones `second`. Returns the number of second attempts, and the time within which 99 in 100
/// requests were answered.
fn run(
    hedging: &mut hedging::Hedging,
    start: ids::Timestamp,
    count: u32,
    first: impl Fn(u32) -> time::Duration,
    second: time::Duration,
) -> (usize, time::Duration) {
    let (mut hedged, mut times) = (0, Vec::new());
    for number in 0..count {
        let now = start + INTERVAL * number;
        hedging.record_request(SERVICE, now);
        let first = first(number);
        let due = hedging.due_after(ROUTE, NOTHING);
        let due = due.filter(|due| *due < first);
        let is_sent = due.is_some()
            && hedging.check(SERVICE, IDLE, false, now).is_ok()
            && hedging.try_take(SERVICE, now);
        hedged += usize::from(is_sent);
        let took = match due.filter(|_| is_sent) {
            Some(due) => first.min(due + second),
            None => first,
        };
        hedging.record_answer(ROUTE, took, NOTHING, now);
        times.push(took);
    }
    times.sort_unstable();
    (hedged, times[times.len() * 99 / 100])
}

/// Returns a state in which the usual time is known.
fn warm() -> hedging::Hedging {
    let mut hedging = hedging::Hedging::new(limits());
    run(&mut hedging, fixtures::START, 200, usual, USUAL);
    hedging
}

// Guards against a few slow servers that determine the 99th percentile.
#[gtest]
fn requests_at_a_few_servers_far_slower_than_usual_are_answered_by_others() -> Result<()> {
    const SLOW: time::Duration = time::Duration::from_secs(2);
    let is_slow = |number: u32| number % 20 == 7;
    let first = |number| if is_slow(number) { SLOW } else { usual(number) };
    let mut hedging = warm();
    let start = fixtures::START + INTERVAL * 200;

    let (hedged, p99) = run(&mut hedging, start, 1_000, first, USUAL);

    expect_that!(hedged, eq(50));
    verify_that!(p99, lt(USUAL * 3))
}

// Guards against extra work beyond the share that the operators allow.
#[gtest]
fn second_attempts_stay_within_their_share_of_any_window() -> Result<()> {
    let mut hedging = warm();
    let start = fixtures::START + INTERVAL * 200;

    let mut sent = Vec::new();
    for number in 0..1_000 {
        let now = start + INTERVAL * number;
        hedging.record_request(SERVICE, now);
        if hedging.try_take(SERVICE, now) {
            sent.push(now);
        }
    }

    // A window has 200 requests, and one more at its bound.
    for from in &sent {
        let window = *from..=*from + limits().window;
        let in_window = sent.iter().filter(|at| window.contains(at)).count();
        expect_that!(in_window, le(20));
    }
    expect_that!(sent.len(), ge(90));
    let denied = hedging.check(SERVICE, IDLE, false, start + INTERVAL * 1_000);
    verify_that!(denied, err(eq(hedging::Denied::Share)))
}

// Guards against extra work for servers that are all overloaded.
#[gtest]
fn none_is_sent_once_all_servers_are_equally_slow() -> Result<()> {
    const SLOW: time::Duration = time::Duration::from_secs(2);
    let mut hedging = warm();
    let start = fixtures::START + INTERVAL * 200;

    let (at_first, _) = run(&mut hedging, start, 100, |_| SLOW, SLOW);
    let (later, _) = run(&mut hedging, start + INTERVAL * 100, 400, |_| SLOW, SLOW);

    expect_that!(at_first, le(20));
    expect_that!(later, eq(0));
    verify_that!(
        hedging.due_after(ROUTE, NOTHING),
        some(ge(time::Duration::from_secs(3)))
    )
}

// Guards against second attempts that take the last free slots.
#[gtest]
fn none_is_sent_while_slots_are_scarce() -> Result<()> {
    let mut hedging = warm();
    let now = fixtures::START + INTERVAL * 200;
    let scarce = hedging::Slots {
        taken: 12,
        total: 16,
    };

    let none_known = hedging.check(SERVICE, hedging::Slots::default(), false, now);
    let few_left = hedging.check(SERVICE, scarce, false, now);

    expect_that!(none_known, err(eq(hedging::Denied::Busy)));
    verify_that!(few_left, err(eq(hedging::Denied::Busy)))
}

// Guards against second attempts after the first few answers, which may be slow or fast by chance.
#[gtest]
fn none_is_due_before_enough_is_known() -> Result<()> {
    let mut hedging = hedging::Hedging::new(limits());

    run(&mut hedging, fixtures::START, 11, usual, USUAL);
    let before = hedging.due_after(ROUTE, NOTHING);
    run(&mut hedging, fixtures::START, 1, usual, USUAL);

    expect_that!(before, none());
    expect_that!(hedging.due_after("other", NOTHING), none());
    verify_that!(hedging.due_after(ROUTE, NOTHING), some(gt(USUAL)))
}

// Guards against a long prompt that counts as slow beside short ones of its route.
#[gtest]
fn streams_are_due_by_the_ratio_to_their_estimate() -> Result<()> {
    let mut hedging = hedging::Hedging::new(limits());
    for _ in 0..20 {
        let (took, expected) = (USUAL * 2, USUAL);
        hedging.record_answer(ROUTE, took, expected, fixtures::START);
    }

    let due = hedging.due_after(ROUTE, USUAL * 10).unwrap_or_default();

    verify_that!(due.as_secs_f64(), near(3.0, 1e-6))
}

// Guards against a request that fails although its second attempt still runs, and against a hedge
// for an attempt that has ended.
#[gtest]
fn second_attempt_continues_when_the_first_fails() -> Result<()> {
    let (mut both, mut alone) = (hedging::Race::default(), hedging::Race::default());
    both.decide(true);

    let first = both.end(hedging::Attempt::First);
    let second = both.end(hedging::Attempt::Second);

    expect_that!(first, eq(hedging::Next::Wait));
    expect_that!(second, eq(hedging::Next::Fail));
    expect_that!(alone.end(hedging::Attempt::First), eq(hedging::Next::Fail));
    verify_that!(alone.is_open(), eq(false))
}

// Guards against two responses to one request, and against work that nobody waits for.
#[gtest]
fn attempt_that_still_runs_is_cancelled_when_the_other_has_won() -> Result<()> {
    let mut race = hedging::Race::default();
    race.decide(true);

    let cancelled = race.cancel(hedging::Attempt::Second);

    verify_that!(cancelled, some(eq(hedging::Attempt::First)))
}

// Guards against a second run of what may run once (ONCE), and against more servers than allowed.
#[gtest]
fn only_requests_that_may_run_on_two_servers_are_eligible() -> Result<()> {
    let route = |kind, max_attempts| routes::Route {
        name: ROUTE.to_owned(),
        host: "shed.example".to_owned(),
        prefix: "/again/".to_owned(),
        kind,
        timeout: USUAL,
        objective: USUAL,
        gap_objective: USUAL,
        priority: 1,
        services: Vec::new(),
        max_attempts,
        is_public: false,
    };
    let is_eligible = |kind, attempts| hedging::is_eligible(&route(kind, attempts), 0, false);
    let call = route(routes::RouteKind::Idempotent, 2);

    expect_that!(is_eligible(routes::RouteKind::Idempotent, 2), eq(true));
    expect_that!(is_eligible(routes::RouteKind::ResumableStream, 2), eq(true));
    expect_that!(is_eligible(routes::RouteKind::Idempotent, 1), eq(false));
    expect_that!(is_eligible(routes::RouteKind::NonIdempotent, 2), eq(false));
    expect_that!(is_eligible(routes::RouteKind::Stream, 2), eq(false));
    expect_that!(hedging::is_eligible(&call, 1, false), eq(false));
    verify_that!(hedging::is_eligible(&call, 0, true), eq(false))
}
