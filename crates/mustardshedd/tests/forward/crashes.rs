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

/// Returns the number of requests with the deadly part that reached the servers.
fn deadly_arrivals(servers: &[&server::Server]) -> usize {
    let has_part = |req: &server::ReceivedRequest| {
        req.header("prompt-prefix")
            .is_some_and(|parts| parts.contains(DEADLY))
    };
    let arrivals = servers.iter().flat_map(|server| server.got());
    arrivals.filter(has_part).count()
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
