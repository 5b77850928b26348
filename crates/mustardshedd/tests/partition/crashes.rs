//! Servers that only seem to have crashed.

use std::time;

use googletest::prelude::*;

use crate::{client, fixture, path::State, server};

/// Time for which a server is at work while its paths are lost.
const SLOW_SERVICE_TIME: time::Duration = time::Duration::from_secs(1);
/// Time that a server takes for a call afterwards.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(30);
/// Interval between checks for servers at work.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Most calls until one is rejected: two attempts each, and three servers that seem to crash.
const MAX_CALLS: usize = 3;
/// Time after which an entry knows that the servers have been running all the time.
const WITHDRAWAL_TIME: time::Duration = time::Duration::from_secs(4);

/// A call that outlives two of its attempts.
const CALL: client::Plan = client::Plan {
    deadline: time::Duration::from_secs(4),
    ..fixture::CALL
};

/// Resets the paths of all entries to each server that is at work.
async fn lose_busy_servers(f: &fixture::Fixture) -> ! {
    loop {
        for (number, server) in f.servers.iter().enumerate() {
            let is_at_work = |work: &server::Work| work.ended_at.is_none();
            if server.all_work().iter().any(is_at_work) {
                for entry in 0..f.entries.len() {
                    f.set_path(entry, number, State::Resets);
                }
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Repeats a call under which servers seem to crash until it is rejected; returns how it ended.
async fn repeat_until_rejected(f: &fixture::Fixture) -> Vec<client::Outcome> {
    let mut client = client::Client::open(&f.ips());
    let mut outcomes = Vec::new();
    while outcomes.len() < MAX_CALLS && outcomes.last() != Some(&client::Outcome::Answered(503)) {
        let sent = tokio::select! {
            sent = client.send(CALL) => sent.unwrap(),
            _ = lose_busy_servers(f) => unreachable!(),
        };
        outcomes.push(sent.outcome);
    }
    outcomes
}

/// Lets servers seem to crash under a call until it is rejected, and restores all paths.
async fn rejected_call() -> fixture::Fixture {
    let f = fixture::Fixture::open(&["north", "south"]).await;
    for server in &f.servers {
        server.set_service_time(SLOW_SERVICE_TIME);
    }
    let outcomes = repeat_until_rejected(&f).await;
    assert_eq!(outcomes.last(), Some(&client::Outcome::Answered(503)));
    for server in &f.servers {
        server.set_service_time(SERVICE_TIME);
    }
    for entry in 0..f.entries.len() {
        f.set_paths(entry, State::Open);
    }
    f
}

// Guards against the rejection of a sound call for ten minutes after each entry has lost the paths to
// some servers at once, which looks like crashes under it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn call_is_served_again_once_its_servers_prove_not_to_have_crashed() -> Result<()> {
    let f = rejected_call().await;
    let mut client = client::Client::open(&f.ips());

    let rejected = client.send(CALL).await.unwrap();
    tokio::time::sleep(WITHDRAWAL_TIME).await;
    let served = client.send(CALL).await.unwrap();

    expect_that!(rejected.outcome, eq(&client::Outcome::Answered(503)));
    verify_that!(served.outcome, eq(&client::Outcome::Answered(200)))
}

// Guards against a call that is sent to a fourth server because the three that have crashed under it
// run again (BUDGET).
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn call_stays_rejected_after_its_servers_have_been_started_anew() -> Result<()> {
    let f = rejected_call().await;

    f.restart_servers().await;
    tokio::time::sleep(WITHDRAWAL_TIME).await;

    let mut client = client::Client::open(&f.ips());
    let rejected = client.send(CALL).await.unwrap();
    verify_that!(rejected.outcome, eq(&client::Outcome::Answered(503)))
}
