//! Servers that announce their shutdown or ask for back-off.

use std::time;

use googletest::prelude::*;

use crate::{
    fixture,
    server::{self, Response},
};

/// Calls sent while the servers must not receive any.
const CALLS: usize = 6;
/// Rate limit that a server advertises, in requests per second.
const RATE: &str = "1";
/// Time in which requests to such a server are counted.
const RATE_WINDOW: time::Duration = time::Duration::from_secs(4);
/// Most requests that it may get in that time: one and a half times what the rate allows, and five.
const MAX_REQUESTS: usize = 11;
/// Calls of each entry while a server advertises a rate limit.
const CALLS_TO_LIMITED: usize = 20;

#[gtest]
#[tokio::test]
async fn server_that_announces_shutdown_gets_no_more_requests_from_any_entry() -> Result<()> {
    let first = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&first]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let other = f.entry("entry-2").await.ready().await;
    fixture::wait_until_acquainted(&[&entry, &other]).await;
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

/// Returns the most requests that a server got within [`RATE_WINDOW`].
fn most_requests(server: &server::Server) -> usize {
    let got = server.got();
    let counts = got.iter().map(|first| {
        let within = got.iter().filter(|req| {
            let after = req.received_at.checked_duration_since(first.received_at);
            after.is_some_and(|after| after < RATE_WINDOW)
        });
        within.count()
    });
    counts.max().unwrap_or_default()
}

// Guards against a server that gets more requests from all entries than its rate limit (LIMIT).
#[gtest]
#[tokio::test]
async fn server_that_advertises_a_rate_limit_gets_no_more_from_all_entries() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entries = [
        f.entry("entry-1").await.ready().await,
        f.entry("entry-2").await.ready().await,
    ];
    fixture::wait_until_acquainted(&[&entries[0], &entries[1]]).await;
    for _ in 0..2 * CALLS_TO_LIMITED {
        server.respond_with(Response::Limited(RATE));
    }

    for _ in 0..CALLS_TO_LIMITED {
        for entry in &entries {
            f.send(entry, "GET", "/again/a", "").await;
        }
    }

    verify_that!(most_requests(&server), all![ge(1), le(MAX_REQUESTS)])
}

#[gtest]
#[tokio::test]
async fn entry_that_joins_late_learns_the_rate_limits_of_servers() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Limited(RATE));
    f.send(&entry, "GET", "/again/a", "").await;

    let other = f.entry("entry-2").await.ready().await;

    fixture::wait_until("the rate to be known", || {
        let now = other.cx.now();
        other.cx.state().advertised_limits.per_s("i-1", now) == Some(1.0)
    })
    .await;
    verify_that!(server.got().len(), eq(1))
}

#[gtest]
#[tokio::test]
async fn server_that_advertises_no_rate_limit_any_more_is_used_without_one() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let is_limited = |entry: &fixture::Entry| {
        let now = entry.cx.now();
        entry
            .cx
            .state()
            .advertised_limits
            .per_s("i-1", now)
            .is_some()
    };
    server.respond_with(Response::Limited("1000"));
    f.send(&entry, "GET", "/again/a", "").await;
    let was_limited = is_limited(&entry);

    // A response ends the limit only some time after the last one that had it.
    let started_at = time::Instant::now();
    while is_limited(&entry) && started_at.elapsed() < fixture::TIMEOUT {
        f.send(&entry, "GET", "/again/a", "").await;
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }

    verify_that!((was_limited, is_limited(&entry)), eq((true, false)))
}
