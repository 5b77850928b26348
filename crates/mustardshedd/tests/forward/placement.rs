//! Which servers get work.

use googletest::prelude::*;
use serde_json::json;

use crate::{fixture, server};

async fn two() -> (fixture::Fixture, server::Server, server::Server) {
    let (north, south) = (
        server::Server::bind("i-1").await,
        server::Server::bind("i-2").await,
    );
    let f = fixture::Fixture::with(&[&north]).await;
    f.list(&south, "ready", "south").await;
    (f, north, south)
}

/// Waits until the entry may use just this number of servers.
async fn usable(entry: &fixture::Entry, count: usize) {
    let cx = &entry.cx;
    fixture::until("the servers", || {
        let now = cx.now();
        cx.state().view.servers_of("runners", now).count() == count
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn data_centre_that_is_out_gets_nothing_until_it_is_back() -> Result<()> {
    let (f, north, south) = two().await;
    let entry = f.entry("entry-1").await.ready().await;
    usable(&entry, 2).await;

    f.write("evacuations", "north", json!({})).await;
    usable(&entry, 1).await;
    for _ in 0..4 {
        f.send(&entry, "GET", "/again/a", "").await;
    }
    let (north_out, south_in) = (north.got().len(), south.got().len());
    f.remove("evacuations", "north").await;
    usable(&entry, 2).await;
    f.send(&entry, "GET", "/again/a", "").await;

    expect_that!((north_out, south_in), eq((0, 4)));
    // The near server is preferred once it is back.
    verify_that!(north.got().len(), eq(1))
}

#[gtest]
#[tokio::test]
async fn leaving_server_and_one_that_is_not_listed_get_nothing() -> Result<()> {
    let (f, north, south) = two().await;
    let entry = f.entry("entry-1").await.ready().await;
    usable(&entry, 2).await;

    f.list(&north, "draining", "north").await;
    usable(&entry, 1).await;
    f.send(&entry, "GET", "/again/a", "").await;
    f.remove("servers", "i-2").await;
    usable(&entry, 0).await;
    let none = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!((north.got().len(), south.got().len()), eq((0, 1)));
    expect_that!(none.status, eq(503));
    verify_that!(none.header("retry-after"), some(anything()))
}

#[gtest]
#[tokio::test]
async fn entries_that_are_not_understood_harm_no_other() -> Result<()> {
    let (f, _north, _south) = two().await;
    for (name, spec) in [
        ("x-1", json!(7)),
        ("x-2", json!({ "service": "runners" })),
        (
            "x-3",
            json!({ "service": "runners", "address": "nowhere", "zone": "north", "slots": 1, "state": "ready" }),
        ),
        (
            "x-4",
            json!({ "service": "runners", "address": "127.0.0.1:9", "zone": "north", "slots": 1, "state": "asleep" }),
        ),
        (
            "x-5",
            json!({ "service": "runners", "address": "127.0.0.1:9", "zone": "north", "slots": "many", "state": "ready" }),
        ),
    ] {
        f.write("servers", name, spec).await;
    }
    let entry = f.entry("entry-1").await.ready().await;
    usable(&entry, 2).await;

    let seen = f.send(&entry, "GET", "/again/a", "").await;

    verify_that!(seen.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn server_that_cannot_be_reached_is_passed_over() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let gone = json!({
        "service": "runners", "address": "127.0.0.1:1", "zone": "north", "slots": 64,
        "state": "ready", "cold_left_ms": 0,
    });
    f.write("servers", "i-0", gone).await;
    let entry = f.entry("entry-1").await.ready().await;
    usable(&entry, 2).await;

    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(f.send(&entry, "POST", "/once/a", "").await.status);
    }

    expect_that!(statuses, each(eq(&200)));
    verify_that!(server.got().len(), eq(4))
}

#[gtest]
#[tokio::test]
async fn pace_of_an_engine_is_read_by_one_entry_and_known_to_all() -> Result<()> {
    let engine = server::Server::bind("i-1").await;
    for _ in 0..100 {
        engine.answers(server::Answer::Whole(200, r#"{"pace":4.0,"running":3}"#));
    }
    let f = fixture::Fixture::with(&[&engine]).await;
    f.configure_engine(2).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;

    for entry in [&first, &second] {
        fixture::until("the pace", || {
            entry.cx.state().ledger.health("i-1").slowdown() > 3.9
        })
        .await;
    }

    let asked = [
        first.cx.engines_to_ask().len(),
        second.cx.engines_to_ask().len(),
    ];
    verify_that!(asked.iter().sum::<usize>(), eq(1))
}
