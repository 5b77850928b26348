//! Keys, and the greatest age of the configuration that they are checked against.

use std::time;

use googletest::prelude::*;
use serde_json::json;

use crate::{fixture, server};

#[gtest]
#[tokio::test]
async fn unknown_keys_and_routes_are_refused_and_public_routes_need_no_key() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    let wrong = f
        .send_with(&entry, "GET", "/again/a", "", &[("api-key", "no")])
        .await;
    let missing = f.send_with(&entry, "GET", "/again/a", "", &[]).await;
    let nowhere = f.send(&entry, "GET", "/nowhere/", "").await;
    let open = f.send_with(&entry, "GET", "/open/a", "", &[]).await;

    expect_that!((wrong.status, missing.status), eq((401, 401)));
    expect_that!(nowhere.status, eq(404));
    expect_that!(open.status, eq(200));
    verify_that!(server.got().len(), eq(1))
}

#[gtest]
#[tokio::test]
async fn entry_without_a_configuration_is_unavailable() -> Result<()> {
    let f = fixture::Fixture::empty().await;
    let entry = f.entry("entry-1").await;

    let seen = f.send(&entry, "GET", "/again/a", "").await;
    let ready = f.read(entry.cx.settings.ready, "/api/readyz").await;

    expect_that!(seen.status, eq(503));
    expect_that!(seen.header("retry-after"), some(anything()));
    verify_that!(ready.status, eq(503))
}

#[gtest]
#[tokio::test]
async fn revoked_key_is_refused_and_a_new_one_is_accepted() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    f.configure(9, &["key-2"]).await;
    let new = [("api-key", "key-2")];
    let taken = f.send_with(&entry, "GET", "/again/a", "", &new).await;
    let revoked = f.send(&entry, "GET", "/again/a", "").await;

    // The unknown new key makes the entry refresh its configuration, so no wait is needed here.
    expect_that!(taken.status, eq(200));
    verify_that!(revoked.status, eq(401))
}

#[gtest]
#[tokio::test]
async fn earlier_version_of_the_configuration_is_ignored() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    f.configure(9, &["key-2"]).await;
    fixture::wait_until("version 9", || {
        entry.cx.routes().is_some_and(|r| r.version == 9)
    })
    .await;

    f.configure(5, &[fixture::KEY]).await;
    f.write("servers", "marker", json!({})).await;
    let seen = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!(entry.cx.routes().unwrap().version, eq(9));
    verify_that!(seen.status, eq(401))
}

// Guards against a revoked key that is accepted for ever because the number of the version stays.
#[gtest]
#[tokio::test]
async fn change_of_the_configuration_under_the_same_version_is_in_force() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    f.configure(1, &["key-2"]).await;
    fixture::wait_until("the new key", || {
        let routes = entry.cx.routes();
        routes.is_some_and(|routes| routes.account("key-2").is_ok())
    })
    .await;
    let seen = f.send(&entry, "GET", "/again/a", "").await;

    verify_that!(seen.status, eq(401))
}

#[gtest]
#[tokio::test]
async fn keys_are_refused_when_the_configuration_is_stale() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    // Longer than a watch waits, so that the configuration stays fresh while the platform works.
    let limit = time::Duration::from_secs(3);
    let entry = f
        .entry_with_revocation("entry-1", limit)
        .await
        .ready()
        .await;

    f.faults(json!({ "outage": true })).await;
    fixture::wait_until("the configuration to be stale", || !entry.cx.takes_work()).await;
    let stale = f.send(&entry, "GET", "/again/a", "").await;
    let open = f.send_with(&entry, "GET", "/open/a", "", &[]).await;
    f.faults(json!({ "outage": false })).await;
    let entry = entry.ready().await;
    let fresh = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!(stale.status, eq(503));
    expect_that!(open.status, eq(200));
    verify_that!(fresh.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn change_is_read_even_if_the_history_is_gone() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;

    f.faults(json!({ "forgotten_before": 1_000 })).await;
    f.configure(9, &["key-2"]).await;
    fixture::wait_until("version 9", || {
        entry.cx.routes().is_some_and(|r| r.version == 9)
    })
    .await;

    let seen = f.send(&entry, "GET", "/again/a", "").await;

    verify_that!(seen.status, eq(401))
}
