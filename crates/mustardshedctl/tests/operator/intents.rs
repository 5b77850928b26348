//! The time between the intents of a change and its update is bounded, however long the client is
//! suspended.

use std::time;

use googletest::prelude::*;
use mustardshed::core::{boundary::platform, version::record};
use mustardshedctl::{apply, exit};

use crate::fakes;

const SUSPENDED: time::Duration = time::Duration::from_secs(3);
const LONG: time::Duration = time::Duration::from_secs(40);

fn platform(log: &fakes::Log) -> fakes::Platform {
    let base = record::Record {
        generation: 1,
        text: "[[data_centre]]\nname = 'oak'\nregion = 'south'\n".to_owned(),
        data_centres_out: std::collections::BTreeSet::new(),
        nonce: "first".to_owned(),
        author: "other".to_owned(),
    };
    fakes::Platform::open(log)
        .with_record(&base)
        .with_entries(&[("a", platform::VmState::Live)])
}

async fn take_out(
    platform: &fakes::Platform,
    entries: &fakes::Entries,
    clock: &fakes::Clock,
) -> std::result::Result<apply::Receipt, apply::ApplyError> {
    let edit = apply::Edit::DataCentreOut("oak".to_owned());
    apply::Writer::new(platform, entries, "operator")
        .clock(clock)
        .settle_timeout(time::Duration::from_millis(50))
        .settle_interval(time::Duration::from_millis(5))
        .write(&edit, None)
        .await
}

/// Returns the intents and updates, in order.
fn steps(log: &fakes::Log) -> Vec<&'static str> {
    let calls = fakes::logged(log);
    let step = |call: &String| match call.split(['/', ' ']).next() {
        Some("intent") => Some("intent"),
        Some("put") if call.starts_with("put configuration") => Some("update"),
        _ => None,
    };
    calls.iter().filter_map(step).collect()
}

#[googletest::test]
#[tokio::test]
async fn a_client_suspended_after_its_intents_starts_again() {
    let (log, clock) = (fakes::Log::default(), fakes::Clock::default());
    let platform = platform(&log);
    let entries = fakes::Entries::open(&log).with_suspensions(&clock, &[SUSPENDED]);

    let written = take_out(&platform, &entries, &clock).await;

    expect_that!(written, ok(anything()));
    expect_that!(steps(&log), eq(&vec!["intent", "intent", "update"]));
    let generation = platform.current().map(|record| record.generation);
    expect_that!(generation, some(eq(2)));
}

#[googletest::test]
#[tokio::test]
async fn a_client_suspended_again_and_again_writes_nothing() {
    let (log, clock) = (fakes::Log::default(), fakes::Clock::default());
    let platform = platform(&log);
    let entries = fakes::Entries::open(&log).with_suspensions(&clock, &[SUSPENDED; 9]);

    let written = take_out(&platform, &entries, &clock).await;

    let status = written.as_ref().map_err(apply::ApplyError::exit_status);
    expect_that!(status.err(), some(eq(exit::ExitStatus::Failed)));
    expect_that!(steps(&log), eq(&vec!["intent"; 3]));
}

#[googletest::test]
#[tokio::test]
async fn an_update_whose_answer_was_lost_is_announced_again_before_it_is_repeated() {
    let (log, clock) = (fakes::Log::default(), fakes::Clock::default());
    let platform = platform(&log)
        .with_fault(fakes::Fault::LostBefore)
        .with_slow_updates(&clock, SUSPENDED);

    let written = take_out(&platform, &fakes::Entries::open(&log), &clock).await;

    expect_that!(written, ok(anything()));
    expect_that!(
        steps(&log),
        eq(&vec!["intent", "update", "intent", "update"])
    );
}

#[googletest::test]
#[tokio::test]
async fn an_update_that_was_lost_long_ago_is_not_repeated() {
    let (log, clock) = (fakes::Log::default(), fakes::Clock::default());
    let platform = platform(&log)
        .with_fault(fakes::Fault::LostBefore)
        .with_slow_updates(&clock, LONG);

    let written = take_out(&platform, &fakes::Entries::open(&log), &clock).await;

    let status = written.as_ref().map_err(apply::ApplyError::exit_status);
    expect_that!(status.err(), some(eq(exit::ExitStatus::Unknown)));
    expect_that!(steps(&log), eq(&vec!["intent", "update"]));
}
