//! Messages of peers that were sent long before they are read.

use std::sync;

use googletest::prelude::*;
use mustardshed::{platform::topic, wire::forward};
use serde_json::json;

use crate::{fixture, peer, server};

/// Time for which the VM of an entry is suspended, in milliseconds: longer than a key may be accepted
/// that was taken away at its beginning.
const SUSPENSION_MS: u64 = 4_900;

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
    let index = CONFIGURATION.index();
    let is_request = |m: &forward::Message| *m == forward::Message::WantTopic { topic: index };
    link.echo_until(state, is_request).await;

    clock.suspend(SUSPENSION_MS);
    let sent = forward::Message::Topic {
        topic: index,
        state,
        objects,
    };
    link.send(&[sent]).await;
    fixture::wait_until("the version that the peer sent", || {
        entry.cx.routes().is_some_and(|routes| routes.version == 2)
    })
    .await;
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
