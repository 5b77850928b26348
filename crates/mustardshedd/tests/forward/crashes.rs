//! Requests that crash the servers that answer them.

use std::time;

use googletest::prelude::*;

use crate::{fixture, server};

/// Part of a prompt that crashes servers.
const DEADLY: &str = "dead00";
/// Crashes after which requests with the part may reach servers only this many times more.
const CRASHES: usize = 5;
const MAX_REQUESTS_AFTER: usize = 3;
/// Requests with the part that clients send.
const DEADLY_REQUESTS: usize = 16;
/// Pause between them, in which a crashed server returns.
const PAUSE: time::Duration = time::Duration::from_millis(250);

/// Crashes after which a repeated request may not reach another server.
const CRASHES_OF_REQUEST: usize = 3;
/// Times that its clients send it.
const REPEATS: usize = 8;

/// Returns the number of requests with the deadly part, or path, that reached the servers.
pub(crate) fn deadly_arrivals(servers: &[&server::Server]) -> usize {
    let is_deadly = |req: &server::ReceivedRequest| {
        let parts = req.header("prompt-prefix").unwrap_or_default();
        parts.contains(DEADLY) || req.path.contains(DEADLY)
    };
    let arrivals = servers.iter().flat_map(|server| server.got());
    arrivals.filter(is_deadly).count()
}

/// Returns servers that crash under requests with the deadly part or path.
pub(crate) async fn crashing_servers() -> [server::Server; 5] {
    let ids = ["i-1", "i-2", "i-3", "i-4", "i-5"];
    let servers = ids.map(server::Server::bind);
    let servers = futures_util::future::join_all(servers).await;
    for server in &servers {
        server.crash_on(DEADLY);
    }
    servers.try_into().unwrap()
}

/// Repeats a request at one entry after the other as soon as it has failed, each time with another
/// identifier and deadline; returns the statuses.
pub(crate) async fn repeat(
    f: &fixture::Fixture,
    entries: &[&fixture::Entry],
    path: &str,
    parts: &str,
) -> Vec<u16> {
    let mut statuses = Vec::new();
    for (i, entry) in (0..REPEATS).zip(entries.iter().cycle()) {
        let (id, deadline) = (format!("r-{i}"), format!("{}", 20_000 - i));
        let mut headers = vec![("request-id", id.as_str()), ("deadline-ms", &deadline)];
        if !parts.is_empty() {
            headers.push(("prompt-prefix", parts));
        }
        statuses.push(f.send_as(entry, path, &headers).await.status);
    }
    statuses
}

async fn send(
    f: &fixture::Fixture,
    entry: &fixture::Entry,
    parts: &str,
) -> fixture::ClientResponse {
    let headers = [("api-key", fixture::KEY), ("prompt-prefix", parts)];
    f.send_with(entry, "POST", "/stream/a", "", &headers).await
}

// Guards against requests that crash one server after the other because of a prompt part that they
// have in common (BUDGET), and against the rejection of others that share its caller's part (LOST).
#[gtest]
#[tokio::test]
async fn requests_with_a_prompt_part_that_crashes_servers_are_rejected_by_all_entries() -> Result<()>
{
    let servers = [
        server::Server::bind("i-1").await,
        server::Server::bind("i-2").await,
        server::Server::bind("i-3").await,
    ];
    let servers = servers.each_ref();
    for server in servers {
        server.crash_on(DEADLY);
    }
    let f = fixture::Fixture::with(&servers).await;
    let entries = [
        f.entry("entry-1").await.ready().await,
        f.entry("entry-2").await.ready().await,
    ];
    fixture::wait_until_acquainted(&[&entries[0], &entries[1]]).await;

    let mut sound = Vec::new();
    let mut deadly = Vec::new();
    for i in 0..DEADLY_REQUESTS {
        let (entry, other) = (&entries[i % 2], &entries[(i + 1) % 2]);
        let parts = format!("ca11e5:40,{DEADLY}:500,a{i}:9");
        deadly.push(send(&f, entry, &parts).await.status);
        tokio::time::sleep(PAUSE).await;
        let parts = format!("ca11e5:40,50f7:500,b{i}:9");
        sound.push(send(&f, other, &parts).await.status);
    }

    expect_that!(sound, each(eq(&200)));
    expect_that!(deadly.last(), some(eq(&503)));
    verify_that!(deadly_arrivals(&servers), le(CRASHES + MAX_REQUESTS_AFTER))
}

// Guards against the rejection of sound prompts for ten minutes after servers that are listed as
// running all the time seemed to crash under them.
#[gtest]
#[tokio::test]
async fn requests_with_a_prompt_part_are_served_again_once_its_crashes_are_withdrawn() -> Result<()>
{
    const HEARTBEAT: time::Duration = time::Duration::from_secs(1);
    let servers = crashing_servers().await;
    let servers = servers.each_ref();
    let f = fixture::Fixture::with(&servers).await;
    let entry = f.entry_with_heartbeat("entry-1", HEARTBEAT).await;
    let entry = entry.ready().await;

    let has_culprits = || !entry.cx.state().quarantine.culprits().is_empty();
    for i in 0..DEADLY_REQUESTS {
        if !has_culprits() {
            send(&f, &entry, &format!("ca11e5:40,{DEADLY}:500,a{i}:9")).await;
            tokio::time::sleep(PAUSE).await;
        }
    }
    let was_quarantined = has_culprits();
    let rejected = send(&f, &entry, &format!("ca11e5:40,{DEADLY}:500,c:9")).await;
    for server in servers {
        server.stop_crashing();
    }
    tokio::time::sleep(HEARTBEAT * 5).await;
    let parts = format!("ca11e5:40,{DEADLY}:500,b:9");
    let served = send(&f, &entry, &parts).await.status;

    expect_that!(was_quarantined, eq(true));
    expect_that!(rejected.status, eq(503));
    let retry_after: f64 = rejected.header("retry-after").unwrap().parse().unwrap();
    expect_that!(retry_after, le(HEARTBEAT.as_secs_f64() * 5.0));
    verify_that!(served, eq(200))
}

// Guards against a request that is repeated under new identifiers and crashes one server after the
// other (BUDGET).
#[gtest]
#[tokio::test]
async fn request_that_has_ended_three_servers_is_not_sent_again_by_any_entry() -> Result<()> {
    let servers = crashing_servers().await;
    let servers = servers.each_ref();
    let f = fixture::Fixture::with(&servers).await;
    let entries = [
        f.entry("entry-1").await.ready().await,
        f.entry("entry-2").await.ready().await,
        f.entry("entry-3").await.ready().await,
    ];
    let entries = entries.each_ref();
    fixture::wait_until_acquainted(&entries).await;

    let parts = format!("ca11e5:40,{DEADLY}:9");
    let deadly = repeat(&f, &entries, "/stream/a", &parts).await;
    let sound = send(&f, entries[0], "ca11e5:40,50f7:9").await;

    expect_that!(deadly.first(), some(eq(&502)));
    expect_that!(deadly.last(), some(eq(&503)));
    expect_that!(sound.status, eq(200));
    verify_that!(deadly_arrivals(&servers), eq(CRASHES_OF_REQUEST))
}

// Guards against a request that only the entries that saw its crashes reject (BUDGET).
#[gtest]
#[tokio::test]
async fn entry_that_joins_rejects_a_request_that_has_ended_three_servers() -> Result<()> {
    let servers = crashing_servers().await;
    let servers = servers.each_ref();
    let f = fixture::Fixture::with(&servers).await;
    let first = f.entry("entry-1").await.ready().await;
    let parts = format!("ca11e5:40,{DEADLY}:9");
    repeat(&f, &[&first], "/stream/a", &parts).await;

    let second = f.entry("entry-2").await.ready().await;
    fixture::wait_until_acquainted(&[&first, &second]).await;
    let is_told = || second.cx.state().repeated_crashes.crashes().count() >= CRASHES_OF_REQUEST;
    fixture::wait_until("the entry to be told", is_told).await;
    let refused = repeat(&f, &[&second], "/stream/a", &parts).await;

    expect_that!(refused, each(eq(&503)));
    verify_that!(deadly_arrivals(&servers), eq(CRASHES_OF_REQUEST))
}

// Guards against calls without a prompt that crash one server after the other (BUDGET).
#[gtest]
#[tokio::test]
async fn call_that_has_ended_three_servers_is_not_sent_again_by_any_entry() -> Result<()> {
    let servers = crashing_servers().await;
    let servers = servers.each_ref();
    let f = fixture::Fixture::with(&servers).await;
    let entries = [
        f.entry("entry-1").await.ready().await,
        f.entry("entry-2").await.ready().await,
    ];
    let entries = entries.each_ref();
    fixture::wait_until_acquainted(&entries).await;

    let deadly = repeat(&f, &entries, &format!("/again/{DEADLY}"), "").await;
    let sound = repeat(&f, &entries, "/again/a", "").await;

    expect_that!(deadly.last(), some(eq(&503)));
    expect_that!(sound, each(eq(&200)));
    verify_that!(deadly_arrivals(&servers), eq(CRASHES_OF_REQUEST))
}
