//! Choice of servers for requests.

use googletest::prelude::*;
use mustardshed::core::forward::{placement, routes};
use mustardshedd::forward::cx;
use serde_json::json;

use crate::{fixture, server};

async fn fixture_with_two_servers() -> (fixture::Fixture, server::Server, server::Server) {
    let (north, south) = (
        server::Server::bind("i-1").await,
        server::Server::bind("i-2").await,
    );
    let f = fixture::Fixture::with(&[&north]).await;
    f.list(&south, "ready", "south").await;
    (f, north, south)
}

/// Waits until the entry may use exactly `count` servers.
async fn wait_for_usable(entry: &fixture::Entry, count: usize) {
    let cx = &entry.cx;
    fixture::wait_until("the servers", || {
        let now = cx.now();
        cx.state().view.servers_of("runners", now).count() == count
    })
    .await;
}

#[gtest]
#[tokio::test]
async fn evacuated_data_centre_gets_no_requests_until_it_is_back() -> Result<()> {
    let (f, north, south) = fixture_with_two_servers().await;
    let entry = f.entry("entry-1").await.ready().await;
    wait_for_usable(&entry, 2).await;

    f.write("evacuations", "north", json!({})).await;
    wait_for_usable(&entry, 1).await;
    for _ in 0..4 {
        f.send(&entry, "GET", "/again/a", "").await;
    }
    let (north_out, south_in) = (north.got().len(), south.got().len());
    f.remove("evacuations", "north").await;
    wait_for_usable(&entry, 2).await;
    f.send(&entry, "GET", "/again/a", "").await;

    expect_that!((north_out, south_in), eq((0, 4)));
    // The local server is preferred once its data centre is back.
    verify_that!(north.got().len(), eq(1))
}

#[gtest]
#[tokio::test]
async fn draining_and_unlisted_servers_get_no_requests() -> Result<()> {
    let (f, north, south) = fixture_with_two_servers().await;
    let entry = f.entry("entry-1").await.ready().await;
    wait_for_usable(&entry, 2).await;

    f.list(&north, "draining", "north").await;
    wait_for_usable(&entry, 1).await;
    f.send(&entry, "GET", "/again/a", "").await;
    f.remove("servers", "i-2").await;
    wait_for_usable(&entry, 0).await;
    let none = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!((north.got().len(), south.got().len()), eq((0, 1)));
    expect_that!(none.status, eq(503));
    verify_that!(none.header("retry-after"), some(anything()))
}

#[gtest]
#[tokio::test]
async fn invalid_server_objects_do_not_affect_valid_ones() -> Result<()> {
    let (f, _north, _south) = fixture_with_two_servers().await;
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
    wait_for_usable(&entry, 2).await;

    let seen = f.send(&entry, "GET", "/again/a", "").await;

    verify_that!(seen.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn unreachable_server_is_skipped() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let unreachable = json!({
        "service": "runners", "address": "127.0.0.1:1", "zone": "north", "slots": 64,
        "state": "ready", "cold_left_ms": 0,
    });
    f.write("servers", "i-0", unreachable).await;
    let entry = f.entry("entry-1").await.ready().await;
    wait_for_usable(&entry, 2).await;

    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(f.send(&entry, "POST", "/once/a", "").await.status);
    }

    expect_that!(statuses, each(eq(&200)));
    verify_that!(server.got().len(), eq(4))
}

#[gtest]
#[tokio::test]
async fn slowdown_of_an_engine_is_polled_by_one_entry_and_known_to_all() -> Result<()> {
    let engine = server::Server::bind("i-1").await;
    for _ in 0..100 {
        engine.respond_with(server::Response::Whole(200, r#"{"pace":4.0,"running":3}"#));
    }
    let f = fixture::Fixture::with(&[&engine]).await;
    f.configure_engine(2).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;

    for entry in [&first, &second] {
        fixture::wait_until("the slowdown to be known", || {
            entry.cx.state().loads.health("i-1").slowdown() > 3.9
        })
        .await;
    }

    let polled = [
        first.cx.engines_to_poll().len(),
        second.cx.engines_to_poll().len(),
    ];
    verify_that!(polled.iter().sum::<usize>(), eq(1))
}

/// Places calls to a service until one is not placed, ten at most; returns how many were.
fn place_calls(entry: &fixture::Entry, service: &routes::Service) -> usize {
    let need = placement::Need {
        prompt_tokens: 0,
        output_tokens: 0,
        objective_ms: 100.0,
        timeout_ms: 1_000.0,
        arrived_at: entry.cx.now(),
        gap_objective_ms: 1_000.0,
        is_retry: false,
        max_cost_share: 1.0,
        urgency: 1.0,
        stop: None,
    };
    let req = cx::PlacementRequest {
        service,
        need,
        tried: &[],
        account: None,
    };
    let placed = (0..10).map(|_| entry.cx.place(&req));
    placed.take_while(std::result::Result::is_ok).count()
}

// Guards against an entry that uses up the rate limit of a cold server for the whole fleet (FAILBACK).
#[gtest]
#[tokio::test]
async fn entry_sends_a_cold_server_no_more_than_its_share() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[]).await;
    let entry = json!({
        "service": "runners", "address": server.address.to_string(), "zone": "north",
        "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 60_000, "seq": 1,
    });
    f.write("servers", "i-1", entry).await;
    let entries = [
        f.entry("entry-1").await.ready().await,
        f.entry("entry-2").await.ready().await,
    ];
    fixture::wait_until_acquainted(&[&entries[0], &entries[1]]).await;
    for entry in &entries {
        wait_for_usable(entry, 1).await;
    }
    let service = routes::Service {
        name: "runners".to_owned(),
        cold_rate_limit: Some(8.0),
        engine: None,
    };

    let sent = entries.each_ref().map(|entry| place_calls(entry, &service));

    expect_that!(sent[0], eq(4));
    verify_that!(sent[1], all![ge(1), le(4)])
}
