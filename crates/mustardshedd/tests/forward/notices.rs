//! Servers that announce their shutdown or ask for back-off.

use googletest::prelude::*;

use crate::{
    fixture,
    server::{self, Response},
};

/// Calls sent while the servers must not receive any.
const CALLS: usize = 6;

#[gtest]
#[tokio::test]
async fn server_that_announces_shutdown_gets_no_more_requests_from_any_entry() -> Result<()> {
    let first = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&first]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let other = f.entry("entry-2").await.ready().await;
    let knows_peer = |entry: &fixture::Entry| {
        let now = entry.cx.now();
        entry.cx.state().live_entries.alive_count(now) == 1
    };
    fixture::wait_until("the entries to know each other", || {
        knows_peer(&entry) && knows_peer(&other)
    })
    .await;
    first.respond_with(Response::Leaving);

    let last = f.send(&entry, "POST", "/once/a", "").await;
    fixture::wait_until("the other entry to learn of the shutdown", || {
        let now = other.cx.now();
        other.cx.state().usable("i-1", now).is_none()
    })
    .await;
    let here = f.send(&entry, "POST", "/once/a", "").await;
    let there = f.send(&other, "POST", "/once/a", "").await;

    expect_that!(last.status, eq(200));
    // The platform still lists the server as ready.
    expect_that!((here.status, there.status), eq((503, 503)));
    verify_that!(first.got().len(), eq(1))
}

#[gtest]
#[tokio::test]
async fn server_that_asks_for_back_off_gets_no_requests_until_it_ends() -> Result<()> {
    let (first, second) = (
        server::Server::bind("i-1").await,
        server::Server::bind("i-2").await,
    );
    let f = fixture::Fixture::with(&[&first, &second]).await;
    let entry = f.entry("entry-1").await.ready().await;
    first.respond_with(Response::BackOff("30.5"));
    second.respond_with(Response::BackOff("30.5"));

    for _ in 0..CALLS {
        f.send(&entry, "GET", "/again/a", "").await;
    }
    f.configure(2, &[fixture::KEY]).await;
    fixture::wait_until("the next configuration", || {
        entry.cx.routes().is_some_and(|routes| routes.version == 2)
    })
    .await;
    let refused = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!((first.got().len(), second.got().len()), eq((1, 1)));
    expect_that!(refused.status, eq(503));
    // The retry delay is capped to less than a third of the caller's 20 s.
    let after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    verify_that!(after, near(6.4, 0.1))
}

#[gtest]
#[tokio::test]
async fn server_is_used_again_after_its_back_off() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::BackOff("0.4"));

    let refused = f.send(&entry, "POST", "/once/a", "").await;
    fixture::wait_until("the end of the back-off", || {
        let now = entry.cx.now();
        entry.cx.state().usable("i-1", now).is_some()
    })
    .await;
    let served = f.send(&entry, "POST", "/once/a", "").await;

    expect_that!((refused.status, served.status), eq((503, 200)));
    verify_that!(server.got().len(), eq(2))
}
