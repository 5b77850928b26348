//! Entries among themselves, and what callers are told of them.

use std::collections;

use googletest::prelude::*;
use mustardshed::core::forward::planned_stop;
use serde_json::json;

use crate::{
    fixture,
    server::{self, Answer},
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
async fn entries_find_each_other_and_name_those_that_live() -> Result<()> {
    let f = fixture::Fixture::with(&[]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::until("both to be named", || {
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
    fixture::until("the dead to be forgotten", || named(&first) == left).await;

    let told: serde_json::Value = serde_json::from_str(&told.body).unwrap();
    expect_that!(told["addresses"].as_array().unwrap().len(), eq(2));
    verify_that!(told["ttl_s"].as_u64(), some(ge(1)))
}

#[gtest]
#[tokio::test]
async fn leaving_entry_serves_on_but_is_named_no_longer() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::until("both to be named", || named(&first) == both).await;

    second.cx.begin_drain();
    let seen = f.send(&second, "GET", "/again/a", "").await;
    let ready = f.read(second.cx.settings.ready, "/api/readyz").await;
    let rest = fronts(&[&first]);
    fixture::until("the leaving to be left out", || named(&first) == rest).await;

    expect_that!(seen.status, eq(200));
    expect_that!(seen.header("connection"), some(eq("close")));
    verify_that!(ready.status, eq(503))
}

#[gtest]
#[tokio::test]
async fn entry_takes_no_stream_that_its_stop_would_cut_off() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    server.answers(Answer::Events {
        ids: vec![1],
        ends: true,
    });

    entry.cx.begin_drain();
    let early = f.send(&entry, "POST", "/stream/a", "").await;
    fixture::until("the time of leaving", || {
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
async fn work_of_one_entry_is_known_to_the_others() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::until("links", || named(&first) == both && named(&second) == both).await;
    server.answers(Answer::Silent);

    {
        let sending = f.send(&first, "POST", "/once/a", "");
        tokio::pin!(sending);
        let known = fixture::until("the work to be known", || {
            second.cx.state().ledger.in_flight("i-1") == 1
        });
        tokio::select! {
            _ = &mut sending => panic!("a silent server was answered for"),
            () = known => {}
        }
    }
    fixture::until("its end to be known", || {
        second.cx.state().ledger.in_flight("i-1") == 0
    })
    .await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn entry_that_the_platform_turns_away_learns_from_its_peers() -> Result<()> {
    let f = fixture::Fixture::with(&[]).await;
    let first = f.entry("entry-1").await.ready().await;
    let second = f.entry("entry-2").await.ready().await;
    let both = fronts(&[&first, &second]);
    fixture::until("links", || named(&first) == both && named(&second) == both).await;

    // The age of what one entry has read is told to the other with each echo.
    let age = |entry: &fixture::Entry| {
        let topic = mustardshed::platform::topic::Topic::Configuration;
        entry.cx.state().view.age(topic, entry.cx.now()).unwrap()
    };
    f.faults(json!({ "outage": true })).await;
    fixture::until("the knowledge to age", || age(&first).as_millis() > 1_500).await;
    f.faults(json!({ "outage": false })).await;
    fixture::until("both to be fresh", || {
        age(&first).as_millis() < 1_400 && age(&second).as_millis() < 1_400
    })
    .await;
    Ok(())
}
