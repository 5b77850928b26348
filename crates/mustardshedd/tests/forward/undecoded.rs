//! Configurations that cannot be decoded.

use std::time;

use googletest::prelude::*;
use mustardshed::{platform::objects, platform::topic::Topic, wire::forward};
use mustardshedd::forward::view;
use serde_json::json;

use crate::{fixture, server};

/// Longer than a watch waits, so that the configuration stays fresh while it can be decoded.
const REVOCATION: time::Duration = time::Duration::from_secs(3);

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Sends requests that a configuration older than the latest may not decide; returns their statuses.
async fn undecided(f: &fixture::Fixture, entry: &fixture::Entry) -> [u16; 3] {
    let unknown_key = [("api-key", "key-2")];
    let seen = [
        f.send(entry, "GET", "/again/a", "").await,
        f.send_with(entry, "GET", "/again/a", "", &unknown_key)
            .await,
        f.send(entry, "GET", "/nowhere/", "").await,
    ];
    seen.map(|seen| seen.status)
}

// Guards against keys that are accepted for ever after a version that cannot be decoded.
#[gtest]
#[tokio::test]
async fn keys_are_refused_once_a_version_that_cannot_be_decoded_is_listed() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry_with_revocation("entry-1", REVOCATION).await;
    let entry = entry.ready().await;

    f.write("config", "main", json!({ "version": "nine" }))
        .await;
    fixture::wait_until("the entry to leave", || !entry.cx.takes_work()).await;
    let statuses = undecided(&f, &entry).await;
    let open = f.send_with(&entry, "GET", "/open/a", "", &[]).await;
    f.configure(10, &[fixture::KEY]).await;
    let entry = entry.ready().await;
    let decoded = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!(statuses, eq([503; 3]));
    expect_that!(open.status, eq(200));
    verify_that!(decoded.status, eq(200))
}

// Guards against keys that are accepted for ever after the configuration was removed.
#[gtest]
#[tokio::test]
async fn keys_are_refused_once_no_configuration_is_listed() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry_with_revocation("entry-1", REVOCATION).await;
    let entry = entry.ready().await;

    f.remove("config", "main").await;
    fixture::wait_until("the entry to leave", || !entry.cx.takes_work()).await;
    let statuses = undecided(&f, &entry).await;

    verify_that!(statuses, eq([503; 3]))
}

// Guards against reads without limit of a version that cannot be decoded.
#[gtest]
#[tokio::test]
async fn unknown_keys_do_not_cause_reads_of_a_version_that_cannot_be_decoded() -> Result<()> {
    const REQUESTS: usize = 50;
    const MAX_CALLS: u64 = 25;
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    f.write("config", "main", json!({ "version": "nine" }))
        .await;
    fixture::wait_until("the version to be read", || {
        entry.cx.state().view.is_configuration_superseded()
    })
    .await;

    let before = f.platform_calls().await;
    for _ in 0..REQUESTS {
        undecided(&f, &entry).await;
    }
    let calls = f.platform_calls().await - before;

    verify_that!(calls, le(MAX_CALLS))
}

// Guards against the former configuration that stays in force, confirmed, when a change of it names
// no object.
#[gtest]
#[tokio::test]
async fn keys_are_refused_once_the_configuration_changes_without_its_name() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry_with_revocation("entry-1", REVOCATION).await;
    let entry = entry.ready().await;

    f.faults(json!({ "unnamed": ["main"] })).await;
    f.configure(9, &["key-2"]).await;
    fixture::wait_until("the entry to leave", || !entry.cx.takes_work()).await;
    let statuses = undecided(&f, &entry).await;
    f.faults(json!({ "unnamed": [] })).await;
    f.configure(10, &["key-2"]).await;
    let entry = entry.ready().await;
    let taken = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!(statuses, eq([503; 3]));
    verify_that!(taken.status, eq(401))
}

// Guards against requests to a server whose change to `draining` names no object.
#[gtest]
#[tokio::test]
async fn server_is_not_used_once_it_changes_without_its_name() -> Result<()> {
    let servers = [
        server::Server::bind("i-1").await,
        server::Server::bind("i-2").await,
    ];
    let f = fixture::Fixture::with(&[&servers[0], &servers[1]]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let is_usable = |id: &str| entry.cx.state().usable(id, entry.cx.now()).is_some();
    fixture::wait_until("the servers", || is_usable("i-1") && is_usable("i-2")).await;

    f.faults(json!({ "unnamed": ["i-1"] })).await;
    f.list(&servers[0], "draining", "north").await;
    fixture::wait_until("the server to leave", || !is_usable("i-1")).await;

    verify_that!(is_usable("i-2"), eq(true))
}

// Guards against a data centre that is put back into service because the name of its object cannot be
// read.
#[gtest]
#[tokio::test]
async fn data_centre_stays_out_while_the_name_of_its_object_cannot_be_read() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    f.write("evacuations", "north", json!({ "step": 1 })).await;
    let entry = f.entry("entry-1").await.ready().await;
    let is_usable = || entry.cx.state().usable("i-1", entry.cx.now()).is_some();
    fixture::wait_until("the data centre to be out", || !is_usable()).await;
    let position = || entry.cx.state().view.position(Topic::Outages);
    let before = position();

    f.faults(json!({ "unnamed": ["north"] })).await;
    f.write("evacuations", "north", json!({ "step": 2 })).await;
    fixture::wait_until("the change to be read", || position() > before).await;
    let is_used_meanwhile = is_usable();
    f.faults(json!({ "unnamed": [] })).await;
    f.remove("evacuations", "north").await;
    fixture::wait_until("the data centre to be back", is_usable).await;

    verify_that!(is_used_meanwhile, eq(false))
}

// Guards against a single part that voids a version, and that entries then never get ready.
#[gtest]
#[tokio::test]
async fn parts_that_can_be_decoded_are_in_force_beside_others() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let route = |name: &str, kind: &str| {
        json!({ "name": name, "host": fixture::HOST, "path_prefix": format!("/{name}/"),
                "route_type": kind, "timeout_ms": 20_000, "service": "runners" })
    };
    let config = json!({
        "version": 9,
        "routes": [route("again", "idempotent"), route("odd", "sometimes")],
        "services": [{ "name": "runners" }],
        "tenants": [
            { "name": "chapel", "api_keys": [fixture::KEY], "priority": 300 },
            { "api_keys": ["key-odd"] },
        ],
    });
    f.write("config", "main", config).await;
    let entry = f.entry("entry-1").await.ready().await;

    let decoded = f.send(&entry, "GET", "/again/a", "").await;
    let odd_route = f.send(&entry, "GET", "/odd/a", "").await;
    let odd_key = [("api-key", "key-odd")];
    let odd_key = f.send_with(&entry, "GET", "/again/a", "", &odd_key).await;
    let taken = [("api-key", "key-taken")];
    let taken = f.send_with(&entry, "GET", "/again/a", "", &taken).await;

    expect_that!(decoded.status, eq(200));
    expect_that!((odd_route.status, odd_key.status), eq((503, 503)));
    expect_that!(odd_route.header("retry-after"), some(anything()));
    verify_that!(taken.status, eq(401))
}

fn configuration(revision: u64, content: &str) -> objects::Listing {
    let position = objects::Position { era: 1, revision };
    let object = objects::Object {
        name: "main".to_owned(),
        position,
        content: content.to_owned(),
    };
    objects::Listing {
        objects: [(object.name.clone(), object)].into(),
        position,
        unnamed: 0,
        gap: None,
    }
}

// Guards against peers that confirm a version which neither side can decode.
#[gtest]
fn peer_at_the_same_position_does_not_confirm_the_version_before() -> Result<()> {
    let topic = Topic::Configuration;
    let mut view = view::View::default();
    let decoded = configuration(5, r#"{"version":1}"#);
    view.apply_listing(topic, decoded, ms(1_000), ms(1_004));
    let undecoded = configuration(6, r#"{"version":"nine"}"#);
    view.apply_listing(topic, undecoded, ms(2_000), ms(2_004));

    let peer = forward::TopicState {
        revision: 6,
        era: 1,
        age_ms: 10,
        is_failing: false,
    };
    let is_wanted = view.observe_peer(topic, peer, ms(3_000), false);

    expect_that!(is_wanted, eq(false));
    expect_that!(view.age(topic, ms(3_000)), some(eq(ms(10))));
    verify_that!(view.configuration_age(ms(3_000)), some(eq(ms(2_000))))
}
