//! Messages of peers that were sent long before they are read.

use std::{sync, time};

use googletest::prelude::*;
use mustardshed::{platform::topic, wire::forward};
use serde_json::json;

use crate::{fixture, peer, server};

/// Time for which the VM of an entry is suspended, in milliseconds: longer than a key may be accepted
/// that was taken away at its beginning.
const SUSPENSION_MS: u64 = 4_900;

/// Interval between the heartbeats of peers.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);

const CONFIGURATION: topic::Topic = topic::Topic::Configuration;

/// Returns the state and the objects of the next version of the configuration, as a peer sends them.
fn next_version(entry: &fixture::Entry) -> (forward::TopicState, Vec<forward::Object>) {
    let now = entry.cx.now();
    let state = entry.cx.state();
    let known = state.view.topic_state(CONFIGURATION, now).unwrap();
    let next = forward::TopicState {
        revision: known.revision + 1,
        age_ms: 0,
        ..known
    };
    let mut objects = state.view.objects(CONFIGURATION);
    for object in &mut objects {
        let mut content: serde_json::Value = serde_json::from_str(&object.content).unwrap();
        content["version"] = json!(2);
        object.content = content.to_string();
        object.revision = next.revision;
    }
    (next, objects)
}

// Guards against a key that was taken away while the VM was suspended and is accepted afterwards, by
// the configuration that a peer had sent before (CONFIG).
#[gtest]
#[tokio::test]
async fn configuration_that_was_sent_before_a_suspension_is_not_fresh() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let clock = sync::Arc::new(fixture::SuspendableClock::default());
    let entry = f.entry_with_clock("entry-1", &clock).await.ready().await;
    let peer = peer::Peer::register(&f, "entry-2").await;
    let mut link = peer.accept().await;
    f.faults(json!({ "outage": true })).await;
    let (state, objects) = next_version(&entry);
    let topic = CONFIGURATION.index();
    let sent = [forward::Message::Topic {
        topic,
        state,
        objects,
    }];
    let is_request = |m: &forward::Message| *m == forward::Message::WantTopic { topic };
    let is_read = || entry.cx.routes().is_some_and(|routes| routes.version == 2);

    // The entry may notice the suspension before it reads the message, and ends the link then.
    loop {
        link.echo_until(state, is_request).await;
        clock.suspend(SUSPENSION_MS);
        link.send(&sent).await;
        tokio::select! {
            () = fixture::wait_until("the version that the peer sent", is_read) => {}
            () = link.wait_until_ended() => {}
        }
        if is_read() {
            break;
        }
        link = peer.accept().await;
    }
    let late = f.send(&entry, "GET", "/again/a", "").await;
    drop(link);
    let mut link = peer.accept().await;
    let in_touch = async {
        tokio::select! {
            () = link.echo_until(state, |_| false) => panic!("the link has ended"),
            entry = entry.ready() => f.send(&entry, "GET", "/again/a", "").await,
        }
    };

    expect_that!(late.status, eq(503));
    verify_that!(in_touch.await.status, eq(200))
}

/// Returns a report that `vm` was alive just now.
fn alive(vm: &str) -> forward::Message {
    forward::Message::LiveEntries(vec![forward::LiveEntry {
        entry: peer::entry(vm),
        age_ms: 0,
    }])
}

// Guards against clients that are told of an entry which died while this one was suspended, by a report
// that a peer had sent before.
#[gtest]
#[tokio::test]
async fn entry_that_was_alive_before_a_suspension_is_not_advertised() -> Result<()> {
    let f = fixture::Fixture::with(&[]).await;
    let clock = sync::Arc::new(fixture::SuspendableClock::default());
    let entry = f.entry_with_clock("entry-1", &clock).await.ready().await;
    let advertises = |vm: &str| entry.cx.fronts().contains(&peer::entry(vm).front);
    let mut link = peer::Link::open(&entry, "entry-2").await;
    for i in 0..4 {
        link.exchange(HEARTBEAT_INTERVAL * i, &[alive("entry-3")])
            .await;
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
    let before = advertises("entry-3");

    clock.suspend(SUSPENSION_MS);
    link.exchange(
        HEARTBEAT_INTERVAL * 4,
        &[alive("entry-3"), alive("entry-4")],
    )
    .await;
    let after = ["entry-3", "entry-4"].map(advertises);
    // The peer has replied to what this entry sent after the suspension.
    link.exchange(HEARTBEAT_INTERVAL * 20, &[]).await;
    link.exchange(HEARTBEAT_INTERVAL * 21, &[alive("entry-4")])
        .await;
    let in_touch = advertises("entry-4");

    expect_that!(before, is_true());
    expect_that!(after, eq([false, false]));
    verify_that!(in_touch, is_true())
}
