//! Entries of another writer whose names hold characters that a URL or a header reserves.

use futures_util::future;
use googletest::prelude::*;
use serde_json::json;

use crate::{fixture, server};

/// Names that a URL cuts, decodes or does not hold unless they are percent-encoded, and others.
const NAMES: [&str; 12] = [
    "&a", "#a", "+a", "%21!", "a b", "a\"b", "a\tb", "a&b", "a#b", "?a", "a/b", "aé",
];

// Guards against requests that are passed on without the server that they are meant for, so that
// another one at its address runs them.
#[gtest]
#[tokio::test]
async fn server_whose_name_no_header_holds_gets_no_request() -> Result<()> {
    let mut odd = Vec::new();
    for name in ["a\nb", "a\u{7f}", " a", "a "] {
        odd.push(server::Server::bind(name).await);
    }
    let f = fixture::Fixture::with(&odd.iter().collect::<Vec<_>>()).await;
    let entry = f.entry("entry-1").await.ready().await;

    let beside_odd = f.send(&entry, "GET", "/again/a", "").await;
    let sound = server::Server::bind("i 1,a/é").await;
    f.list(&sound, "ready", "north").await;
    let is_usable = || entry.cx.state().usable(&sound.id, entry.cx.now()).is_some();
    fixture::wait_until("the sound server", is_usable).await;
    let beside_sound = f.send(&entry, "GET", "/again/a", "").await;

    expect_that!([beside_odd.status, beside_sound.status], eq([503, 200]));
    let odd_got = odd.iter().map(|server| server.got().len()).sum::<usize>();
    expect_that!(odd_got, eq(0));
    let meant_for = sound.got()[0].headers["expect-instance"]
        .as_bytes()
        .to_vec();
    verify_that!(meant_for, eq(sound.id.as_bytes()))
}

/// Returns the status of a request to an entry that starts while an odd object is the last one of a
/// page of the list of servers, and a usable one is on the next; none if the entry does not get ready.
async fn status_beside(odd: &str) -> Option<u16> {
    let server = server::Server::bind("z-1").await;
    let f = fixture::Fixture::with(&[]).await;
    f.fill_page("servers", 1).await;
    f.write("servers", odd, json!({ "state": 7 })).await;
    f.list(&server, "ready", "north").await;
    let entry = f.entry("entry-1").await;

    if !fixture::holds_in_time(|| entry.cx.takes_work()).await {
        return None;
    }
    Some(f.send(&entry, "GET", "/again/a", "").await.status)
}

// Guards against entries that are never ready because a name of another writer ends a page of the
// list of servers.
#[gtest]
#[tokio::test]
async fn entry_that_starts_beside_an_odd_name_serves() -> Result<()> {
    let statuses = future::join_all(NAMES.map(status_beside)).await;

    for (name, status) in NAMES.iter().zip(statuses) {
        expect_that!(status, some(eq(200)), "{name:?}");
    }
    Ok(())
}

// Guards against an odd name of any other kind of objects that the entry reads.
#[gtest]
#[tokio::test]
async fn objects_of_each_kind_are_read_behind_an_odd_name() -> Result<()> {
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    for kind in ["config", "evacuations", "mustardshed-entries"] {
        f.fill_page(kind, 1).await;
        f.write(kind, "&a", json!({ "version": "seven" })).await;
    }
    f.write("evacuations", "north", json!({})).await;

    let entries = [f.entry("entry-1").await, f.entry("entry-2").await];
    let [first, second] = entries.map(fixture::Entry::ready);
    let [first, second] = [first.await, second.await];
    fixture::wait_until_acquainted(&[&first, &second]).await;
    let is_usable = || first.cx.state().usable("i-1", first.cx.now()).is_some();
    fixture::wait_until("the data centre to be out", || !is_usable()).await;
    f.remove("evacuations", "north").await;
    fixture::wait_until("the data centre to be back", is_usable).await;

    verify_that!(f.send(&first, "GET", "/again/a", "").await.status, eq(200))
}

// Guards against changes that are not followed since an odd name comes or goes.
#[gtest]
#[tokio::test]
async fn changes_are_followed_beside_odd_names() -> Result<()> {
    let f = fixture::Fixture::with(&[]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let is_usable = |id: &str| entry.cx.state().usable(id, entry.cx.now()).is_some();

    for name in NAMES {
        f.write("servers", name, json!({ "state": 7 })).await;
    }
    let first = server::Server::bind("i-1").await;
    f.list(&first, "ready", "north").await;
    fixture::wait_until("the first server", || is_usable("i-1")).await;
    for name in NAMES {
        f.remove("servers", name).await;
    }
    f.list(&first, "draining", "north").await;
    fixture::wait_until("the first server to leave", || !is_usable("i-1")).await;

    verify_that!(NAMES.iter().any(|name| is_usable(name)), eq(false))
}
