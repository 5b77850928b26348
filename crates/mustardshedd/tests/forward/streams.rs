//! Streams of events.

use googletest::prelude::*;

use crate::{
    fixture,
    server::{self, Response},
};

fn ids_of(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}

#[gtest]
#[tokio::test]
async fn events_pass_in_order() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Events {
        ids: vec![1, 2, 3],
        ends: true,
    });

    let seen = f.send(&entry, "POST", "/stream/a", "").await;

    expect_that!(seen.is_whole, eq(true));
    expect_that!(
        seen.body.as_str(),
        eq("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n")
    );
    verify_that!(seen.header("content-type"), some(eq("text/event-stream")))
}

#[gtest]
#[tokio::test]
async fn broken_stream_is_resumed_after_its_last_event_without_partial_ones() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Truncated { id: 4 });
    server.respond_with(Response::Events {
        ids: vec![5, 6],
        ends: true,
    });

    let seen = f.send(&entry, "POST", "/stream/a", "").await;

    let got = server.got();
    expect_that!(got[0].header("last-event-id"), none());
    expect_that!(got[1].header("last-event-id"), some(eq("4")));
    expect_that!(seen.is_whole, eq(true));
    verify_that!(ids_of(&seen.body), elements_are![eq(&4), eq(&5), eq(&6)])
}

#[gtest]
#[tokio::test]
async fn stream_that_cannot_be_resumed_does_not_look_complete() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    for id in [1, 2] {
        server.respond_with(Response::Events {
            ids: vec![id],
            ends: false,
        });
    }

    let seen = f.send(&entry, "POST", "/stream/a", "").await;

    expect_that!(seen.is_whole, eq(false));
    expect_that!(server.got().len(), eq(2));
    verify_that!(ids_of(&seen.body), elements_are![eq(&1), eq(&2)])
}

#[gtest]
#[tokio::test]
async fn events_out_of_order_end_the_attempt() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Events {
        ids: vec![1, 2, 2, 3],
        ends: true,
    });
    server.respond_with(Response::Events {
        ids: vec![3, 4],
        ends: true,
    });

    let seen = f.send(&entry, "POST", "/stream/a", "").await;

    verify_that!(
        ids_of(&seen.body),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    )
}

#[gtest]
#[tokio::test]
async fn stream_that_a_silent_server_does_not_begin_is_started_by_another() -> Result<()> {
    let silent = server::Server::bind("i-1").await;
    let healthy = server::Server::bind("i-2").await;
    let f = fixture::Fixture::with(&[&silent, &healthy]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let whole = || Response::Events {
        ids: vec![1],
        ends: true,
    };
    silent.respond_with(Response::Silent);
    for _ in 0..8 {
        healthy.respond_with(whole());
    }

    // One of these requests is sent to the silent server first.
    let mut statuses = Vec::new();
    while silent.got().is_empty() && statuses.len() < 8 {
        let seen = f.send(&entry, "POST", "/stream/a", "").await;
        statuses.push((seen.status, seen.is_whole));
        // Equal servers are chosen by their requests in flight, so the other one is made less
        // attractive.
        f.list(&healthy, "ready", "south").await;
        fixture::wait_until("the healthy server to be in another data centre", || {
            let state = entry.cx.state();
            let found = state.view.usable("i-2", entry.cx.now());
            found.is_some_and(|server| server.data_centre == "south")
        })
        .await;
    }

    expect_that!(silent.got().len(), ge(1));
    verify_that!(statuses, each(eq(&(200, true))))
}
