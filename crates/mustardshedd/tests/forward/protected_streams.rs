//! Streams that are accepted during a planned stop, beside entries that are started meanwhile.

use std::time;

use googletest::prelude::*;
use mustardshed::core::forward::load_tracker;

use crate::{
    fixture,
    server::{self, Response},
};

/// Long prompts for which the server of the stream has time.
const PROMPTS: usize = 3;

/// Starts an entry that knows the engines.
async fn entry(f: &fixture::Fixture, vm: &str) -> fixture::Entry {
    let entry = f.entry(vm).await.ready().await;
    fixture::wait_until("the engine", || {
        let routes = entry.cx.routes();
        routes.is_some_and(|routes| routes.version == 2)
    })
    .await;
    entry
}

/// Begins the planned stop of an entry two seconds ago.
fn begin_stop(entry: &fixture::Entry) {
    let now = entry.cx.now();
    entry
        .cx
        .begin_drain_at(now.saturating_sub(time::Duration::from_secs(2)));
}

/// Sends a stream that nobody answers.
async fn send_stream(f: &fixture::Fixture, entry: &fixture::Entry) {
    let headers = [("token-usage", "2000,2500")];
    f.send_with(entry, "POST", "/short/a", "", &headers).await;
}

/// Sends a long prompt, which the server answers at once; returns whether it was sent there.
async fn is_served(f: &fixture::Fixture, entry: &fixture::Entry) -> bool {
    let headers = [("token-usage", "100000,100"), ("deadline-ms", "2000")];
    let answer = f.send_with(entry, "POST", "/long/a", "", &headers).await;
    answer.status == 200
}

/// Returns the protected stream that an entry knows.
fn protected(entry: &fixture::Entry) -> Option<load_tracker::JobKey> {
    let state = entry.cx.state();
    let mut jobs = state.loads.jobs();
    let stream = jobs.find(|(_, job)| job.protection.is_some());
    stream.map(|(key, _)| key.clone())
}

/// Returns the number of requests that an entry knows to have come after the protected stream.
fn later_requests(entry: &fixture::Entry) -> usize {
    protected(entry).map_or(0, |key| entry.cx.state().loads.later_work(&key).len())
}

/// Sends a stream to an entry that is being stopped, and beside it as many prompts to another one as
/// the server has time for; then starts an entry, and sends it one prompt more once `may_send` returns
/// true. Returns the number of prompts that reached the server.
async fn prompts_beside_a_stream(may_send: impl Fn(&fixture::Entry) -> bool) -> usize {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    f.configure_engine(2).await;
    let stopping = entry(&f, "entry-1").await;
    let other = entry(&f, "entry-2").await;
    fixture::wait_until_acquainted(&[&stopping, &other]).await;
    server.respond_with(Response::Silent);
    begin_stop(&stopping);

    let beside_it = async {
        fixture::wait_until("the stream", || protected(&other).is_some()).await;
        for _ in 0..PROMPTS {
            assert!(
                is_served(&f, &other).await,
                "the server has no time to spare"
            );
        }
        let heard = || later_requests(&stopping) == PROMPTS;
        fixture::wait_until("the prompts at the stopping entry", heard).await;
        let started = entry(&f, "entry-3").await;
        fixture::wait_until("the prompt", || may_send(&started)).await;
        is_served(&f, &started).await
    };
    tokio::select! {
        () = send_stream(&f, &stopping) => panic!("there is a response although the server sent none"),
        _ = beside_it => {}
    }
    let got = server.got().into_iter();
    got.filter(|got| got.path.starts_with("/long/")).count()
}

// Guards against streams that are accepted during a planned stop and cut at its end, because an entry
// that is started meanwhile spends the spare time of their server once more (LOST).
#[gtest]
#[tokio::test]
async fn entry_that_links_anew_knows_what_the_server_of_a_stream_was_sent() -> Result<()> {
    let prompts = prompts_beside_a_stream(|started| protected(started).is_some()).await;

    verify_that!(prompts, eq(PROMPTS))
}

// Guards against the same by prompts that come before the started entry was told of the stream (LOST).
#[gtest]
#[tokio::test]
async fn prompt_right_after_a_start_waits_until_peers_have_told_of_their_requests() -> Result<()> {
    let prompts = prompts_beside_a_stream(|_| true).await;

    verify_that!(prompts, eq(PROMPTS))
}

// Guards against requests of an entry that was started again which do not count beside a stream, as an
// earlier run of the entry had sent requests of the same numbers (LOST).
#[gtest]
#[tokio::test]
async fn requests_of_a_restarted_entry_are_told_from_those_of_its_earlier_run() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    f.configure_engine(2).await;
    let stopping = entry(&f, "entry-1").await;
    let earlier = entry(&f, "entry-2").await;
    fixture::wait_until_acquainted(&[&stopping, &earlier]).await;
    let headers = [("token-usage", "2000,100")];
    f.send_with(&earlier, "POST", "/short/a", "", &headers)
        .await;
    server.respond_with(Response::Silent);
    drop(earlier);
    begin_stop(&stopping);
    let beside_it = async {
        fixture::wait_until("the stream", || protected(&stopping).is_some()).await;
        let before = later_requests(&stopping);
        let restarted = entry(&f, "entry-2").await;
        fixture::wait_until("the stream", || protected(&restarted).is_some()).await;
        is_served(&f, &restarted).await;
        let heard = || later_requests(&stopping) > before;
        (before, fixture::holds_in_time(heard).await)
    };
    let (before, counts) = tokio::select! {
        () = send_stream(&f, &stopping) => panic!("there is a response although the server sent none"),
        seen = beside_it => seen,
    };

    expect_that!(before, eq(0));
    verify_that!(counts, is_true())
}
