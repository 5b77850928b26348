//! Rejection of requests that crash a server each time they are repeated.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{forward::repeated_crashes, ids};

/// Time for which a request is rejected after its last crash.
const RETENTION_MS: u64 = 600_000;

fn millis(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn request(name: &str) -> repeated_crashes::Fingerprint {
    repeated_crashes::Fingerprint::new(&[name.as_bytes()])
}

/// Returns a crash under requests that other clients do not send.
fn crash(server: &str, at_ms: u64, names: &[&str]) -> repeated_crashes::Crash {
    crash_after(server, at_ms, names, None)
}

/// Returns a crash under requests that were sent `lasted_ms` before.
fn crash_after(
    server: &str,
    at_ms: u64,
    names: &[&str],
    lasted_ms: Option<u64>,
) -> repeated_crashes::Crash {
    let attempts = names.iter().map(|name| repeated_crashes::Attempt {
        request: request(name),
        lasted: lasted_ms.map(millis),
    });
    repeated_crashes::Crash {
        server: server.to_owned(),
        started_unix_ms: None,
        at: millis(at_ms),
        attempts: attempts.collect(),
    }
}

/// Records crashes of different servers, `interval_ms` apart from `from_ms` on.
fn record(
    crashes: &mut repeated_crashes::RepeatedCrashes,
    from_ms: u64,
    interval_ms: u64,
    suspects: &[&[&str]],
) {
    for (i, names) in (0..).zip(suspects) {
        let at_ms = from_ms + interval_ms * i;
        crashes.record_crash(
            crash(&format!("i-{at_ms}-{i}"), at_ms, names),
            millis(at_ms),
        );
    }
}

fn rejects(crashes: &repeated_crashes::RepeatedCrashes, name: &str) -> bool {
    crashes.remaining(request(name), millis(20_000)).is_some()
}

#[gtest]
fn request_that_has_ended_three_servers_is_rejected() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();

    record(&mut crashes, 1_000, 40, &[&["dead"], &["dead", "other"]]);
    let is_rejected_early = rejects(&crashes, "dead");
    let told = crashes.record_crash(crash("i-9", 1_080, &["dead"]), millis(1_080));

    expect_that!(is_rejected_early, eq(false));
    expect_that!(told, elements_are![eq(&request("dead"))]);
    expect_that!(rejects(&crashes, "other"), eq(false));
    let left = crashes.remaining(request("dead"), millis(2_080));
    verify_that!(left, some(eq(millis(RETENTION_MS - 1_000))))
}

// Guards against a request that is sent to a fourth server because the first of its crashes, and not
// the last, has expired (BUDGET).
#[gtest]
fn request_is_rejected_until_its_last_crash_has_expired() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();

    record(&mut crashes, 0, 250_000, &[&["dead"], &["dead"], &["dead"]]);
    record(&mut crashes, 700_000, 0, &[&["other"]]);
    let left = crashes.remaining(request("dead"), millis(700_000));
    record(&mut crashes, 500_000 + RETENTION_MS, 0, &[&["other"]]);
    let left_after = crashes.remaining(request("dead"), millis(500_000 + RETENTION_MS));

    expect_that!(left, some(eq(millis(400_000))));
    expect_that!(left_after, none());
    verify_that!(crashes.crashes().count(), eq(2))
}

#[gtest]
fn reports_of_several_entries_are_one_crash() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();

    for at_ms in [1_000, 1_020, 1_050, 1_900] {
        crashes.record_crash(crash("i-1", at_ms, &["dead"]), millis(at_ms));
    }
    let is_rejected_early = rejects(&crashes, "dead");
    for at_ms in [3_000, 5_000] {
        crashes.record_crash(crash("i-1", at_ms, &["dead"]), millis(at_ms));
    }

    expect_that!(is_rejected_early, eq(false));
    verify_that!(rejects(&crashes, "dead"), eq(true))
}

// Guards against the rejection of sound requests that were cut by crashes (LOST).
#[gtest]
fn answer_clears_a_request_of_what_came_before() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();
    record(
        &mut crashes,
        1_000,
        500,
        &[&["sound", "dead"], &["sound", "dead"]],
    );

    let was_suspected = crashes.record_answer(request("sound"), millis(1_600));
    let is_other_suspected = crashes.record_answer(request("other"), millis(1_600));
    record(&mut crashes, 2_000, 500, &[&["sound", "dead"], &["sound"]]);

    expect_that!(was_suspected, eq(true));
    expect_that!(is_other_suspected, eq(false));
    expect_that!(rejects(&crashes, "sound"), eq(false));
    verify_that!(rejects(&crashes, "dead"), eq(true))
}

// Guards against an answer that began before the crashes and excuses the request (BUDGET).
#[gtest]
fn earlier_answer_clears_nothing() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();
    record(&mut crashes, 1_000, 500, &[&["dead"], &["dead"], &["dead"]]);

    crashes.record_answer(request("dead"), millis(900));

    verify_that!(rejects(&crashes, "dead"), eq(true))
}

// Guards against the rejection of calls that several servers of a lost data centre had (LOST).
#[gtest]
fn servers_that_are_lost_together_count_once_for_common_requests() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();

    for i in 0..20 {
        let lost = crash_after(&format!("i-{i}"), 5_000 + i, &["call"], Some(400));
        crashes.record_crash(lost, millis(5_000 + i));
    }

    verify_that!(rejects(&crashes, "call"), eq(false))
}

// Guards against a call that crashes servers faster than they are lost together (BUDGET).
#[gtest]
fn call_that_was_sent_again_after_each_crash_is_rejected() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();

    for (i, at_ms) in [5_000, 5_040, 5_080].into_iter().enumerate() {
        let repeated = crash_after(&format!("i-{i}"), at_ms, &["call"], Some(30));
        crashes.record_crash(repeated, millis(at_ms));
    }

    verify_that!(rejects(&crashes, "call"), eq(true))
}

// Guards against the rejection of a sound request that was beside several that crash servers (LOST).
#[gtest]
fn crashes_that_other_requests_explain_do_not_count() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();
    for (from_ms, dead) in [(1_000, "a"), (3_000, "b"), (5_000, "c")] {
        record(
            &mut crashes,
            from_ms,
            300,
            &[&[dead, "sound"], &[dead], &[dead]],
        );
    }

    expect_that!(
        ["a", "b", "c"].map(|dead| rejects(&crashes, dead)),
        each(eq(true))
    );
    verify_that!(rejects(&crashes, "sound"), eq(false))
}

// Guards against an excuse for a request that has crashed a server alone (BUDGET).
#[gtest]
fn request_that_was_alone_at_a_crash_is_not_excused() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();
    record(
        &mut crashes,
        1_000,
        300,
        &[&["a", "b"], &["a", "b"], &["a"]],
    );

    record(&mut crashes, 3_000, 300, &[&["b"]]);

    expect_that!(rejects(&crashes, "a"), eq(true));
    verify_that!(rejects(&crashes, "b"), eq(true))
}

// Guards against a request that is forgotten because many other servers crash (BUDGET).
#[gtest]
fn hundreds_of_other_crashes_leave_a_request_rejected() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();
    record(&mut crashes, 1_000, 300, &[&["dead"], &["dead"], &["dead"]]);

    for i in 0..1_000 {
        let other = crash(&format!("other-{i}"), 3_000 + i, &[&format!("r-{i}")]);
        crashes.record_crash(other, millis(3_000 + i));
    }

    verify_that!(rejects(&crashes, "dead"), eq(true))
}

// Guards against the rejection of a sound call under which servers only seemed to crash (LOST).
#[gtest]
fn crashes_that_are_withdrawn_do_not_count() -> Result<()> {
    let mut crashes = repeated_crashes::RepeatedCrashes::default();
    record(
        &mut crashes,
        1_000,
        500,
        &[&["sound", "dead"], &["sound"], &["sound"]],
    );
    record(&mut crashes, 3_000, 500, &[&["dead"], &["dead"]]);

    let withdrawn = crashes.withdraw(|crash| crash.at == millis(1_500));
    let is_known_again = !crashes
        .withdraw(|crash| crash.at == millis(1_500))
        .is_empty();

    expect_that!(withdrawn.len(), eq(1));
    expect_that!(is_known_again, eq(false));
    expect_that!(rejects(&crashes, "sound"), eq(false));
    verify_that!(rejects(&crashes, "dead"), eq(true))
}

#[gtest]
fn record_is_bounded_and_expires() -> Result<()> {
    const MAX_CRASHES: usize = 2_048;
    let mut crashes = repeated_crashes::RepeatedCrashes::default();

    for i in 0..3_000 {
        let other = crash(&format!("i-{i}"), i, &[&format!("r-{i}")]);
        crashes.record_crash(other, millis(i));
    }
    let kept = crashes.crashes().count();
    let later = 3_000 + RETENTION_MS;
    crashes.record_crash(crash("i-1", later, &["last"]), millis(later));

    expect_that!(kept, eq(MAX_CRASHES));
    expect_that!(crashes.is_suspected(request("r-2999")), eq(false));
    verify_that!(crashes.crashes().count(), eq(1))
}
