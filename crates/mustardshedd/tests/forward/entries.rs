//! Discovery of entries by each other and by callers.

use std::collections;

use googletest::prelude::*;
use mustardshed::core::forward::planned_stop;
use serde_json::json;

use crate::{
    fixture,
    server::{self, Response},
};

fn named(entry: &fixture::Entry) -> collections::BTreeSet<String> {
    entry.cx.fronts().into_iter().collect()
}

fn fronts(entries: &[&fixture::Entry]) -> collections::BTreeSet<String> {
    entries
        .iter()
        .map(|entry| entry.cx.settings.front.to_string())
        .collect()
}

#[gtest]
#[tokio::test]
async fn entries_find_each_other_and_advertise_live_ones() -> Result<()> {
    let f = fixture::Fixture::with(&[]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::wait_until("both entries to be advertised", || {
        named(&first) == both && named(&second) == both
    })
    .await;

    let told = f
        .read(
            first.cx.settings.directory,
            "/api/resolve?name=x&region=r&zone=north",
        )
        .await;
    drop(second);
    let left = fronts(&[&first]);
    fixture::wait_until("the dead entry to be removed", || named(&first) == left).await;

    let told: serde_json::Value = serde_json::from_str(&told.body).unwrap();
    expect_that!(told["addresses"].as_array().unwrap().len(), eq(2));
    verify_that!(told["ttl_s"].as_u64(), some(ge(1)))
}

#[gtest]
#[tokio::test]
async fn draining_entry_keeps_serving_but_is_no_longer_advertised() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::wait_until("both entries to be advertised", || named(&first) == both).await;

    second.cx.begin_drain();
    let seen = f.send(&second, "GET", "/again/a", "").await;
    let ready = f.read(second.cx.settings.ready, "/api/readyz").await;
    let rest = fronts(&[&first]);
    fixture::wait_until("the draining entry to be removed", || named(&first) == rest).await;

    expect_that!(seen.status, eq(200));
    expect_that!(seen.header("connection"), some(eq("close")));
    verify_that!(ready.status, eq(503))
}

#[gtest]
#[tokio::test]
async fn draining_entry_refuses_streams_that_would_outlast_it() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.respond_with(Response::Events {
        ids: vec![1],
        ends: true,
    });

    entry.cx.begin_drain();
    let early = f.send(&entry, "POST", "/stream/a", "").await;
    fixture::wait_until("the time for which a draining entry takes streams", || {
        let since = entry.cx.draining_for();
        since.is_some_and(|since| since >= planned_stop::ADVERTISED_FOR)
    })
    .await;
    let late = f.send(&entry, "POST", "/stream/a", "").await;
    let call = f.send(&entry, "POST", "/once/a", "").await;

    expect_that!((early.status, early.is_whole), eq((200, true)));
    expect_that!(late.status, eq(503));
    expect_that!(late.header("retry-after"), some(anything()));
    verify_that!(call.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn requests_of_one_entry_are_known_to_the_others() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::wait_until("links", || named(&first) == both && named(&second) == both).await;
    server.respond_with(Response::Silent);

    {
        let sending = f.send(&first, "POST", "/once/a", "");
        tokio::pin!(sending);
        let known = fixture::wait_until("the other entry to know the request", || {
            second.cx.state().loads.in_flight("i-1") == 1
        });
        tokio::select! {
            _ = &mut sending => panic!("there is a response although the server sent none"),
            () = known => {}
        }
    }
    fixture::wait_until("the other entry to know its end", || {
        second.cx.state().loads.in_flight("i-1") == 0
    })
    .await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn entry_refreshes_its_configuration_from_its_peers_after_an_outage() -> Result<()> {
    let f = fixture::Fixture::with(&[]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::wait_until("links", || named(&first) == both && named(&second) == both).await;

    // Each echo tells the age of the entry's data.
    let age = |entry: &fixture::Entry| {
        let topic = mustardshed::platform::topic::Topic::Configuration;
        entry.cx.state().view.age(topic, entry.cx.now()).unwrap()
    };
    f.faults(json!({ "outage": true })).await;
    fixture::wait_until("the data to age", || age(&first).as_millis() > 1_500).await;
    f.faults(json!({ "outage": false })).await;
    fixture::wait_until("the configuration to be fresh at both entries", || {
        age(&first).as_millis() < 1_400 && age(&second).as_millis() < 1_400
    })
    .await;
    Ok(())
}
