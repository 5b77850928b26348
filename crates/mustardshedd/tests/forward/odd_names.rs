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
    f.fill_page(1).await;
    f.write("servers", odd, json!({ "state": 7 })).await;
    f.list(&server, "ready", "north").await;
    let entry = f.entry("entry-1").await;

    let is_ready = fixture::holds_in_time(|| entry.cx.takes_work()).await;

    match is_ready {
        true => Some(f.send(&entry, "GET", "/again/a", "").await.status),
        false => None,
    }
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
