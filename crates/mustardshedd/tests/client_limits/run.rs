//! One run of crowds against an entry.

use std::{net, time};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    client,
    crowd::{Crowd, Sort},
    entry::{self, memory},
    fixture::Fixture,
    server,
};

/// Memory of the VM, in megabytes: the smallest that the settings accept.
const MEMORY_MB: u64 = 64;
/// Most memory, in bytes: all that the VM has.
const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;
/// Descriptors of the process.
const DESCRIPTORS: u64 = 512;
/// Descriptors that clients must leave to servers, peers, the store, readiness and metrics.
const RESERVED_DESCRIPTORS: usize = 64;
/// Size of an answer just below the largest that an entry takes, in bytes.
const ANSWER_BYTES: usize = 7_900_000;

/// Longest wait until a crowd has sent; a crowd that still sends then is checked as it is.
pub(crate) const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Longest wait until the entry has read what a crowd has sent; it may leave some of it unread.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Attempts of the ordinary caller.
const ATTEMPTS: usize = 40;
/// Pause between them.
const ATTEMPT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest wait for a response; far longer than a loaded machine needs.
const ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Attempts without any response after which the ordinary caller gives up.
const SILENT_ATTEMPTS: usize = 3;
/// Interval between two counts of memory and descriptors.
const COUNT_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Keeps tests apart: several crowds at once would measure each other.
pub(crate) static ONE_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// What a run has shown.
#[derive(Debug)]
struct Seen {
    /// Whether the process runs at the end.
    is_running: bool,
    /// Most memory, resident and received but not yet read.
    peak: memory::Memory,
    /// Most resident memory, in bytes, also between two counts.
    peak_resident: u64,
    /// Most open descriptors.
    peak_descriptors: usize,
    /// Status of the ordinary request; none if it got no response.
    ordinary: Option<u16>,
    /// Status of the readiness check; none if it got no response.
    ready: Option<u16>,
}

/// Starts the crowds against an entry, sends an ordinary request while all of them stay, and checks
/// the process.
pub(crate) async fn check(crowds: &[(Sort, usize)]) -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let f = open().await;
    let front = entry::front(f.entry.ip);
    verify(run(f, front, crowds).await, DESCRIPTORS)
}

/// Does the same with crowds at `port` of an entry that the platform has started on a machine with so
/// many descriptors.
pub(crate) async fn check_deployed(
    descriptors: u64,
    port: u16,
    crowds: &[(Sort, usize)],
) -> Result<()> {
    let _alone = ONE_AT_A_TIME.lock().await;
    let f = open_deployed(descriptors).await;
    let target = net::SocketAddr::from((f.entry.ip, port));
    verify(run(f, target, crowds).await, descriptors)
}

fn verify(seen: Seen, descriptors: u64) -> Result<()> {
    println!("{seen:?}");
    expect_that!(seen.is_running, eq(true));
    expect_that!(seen.peak.total(), le(MEMORY_BYTES));
    expect_that!(seen.peak_resident, le(MEMORY_BYTES));
    let limit = usize::try_from(descriptors).unwrap() - RESERVED_DESCRIPTORS;
    expect_that!(seen.peak_descriptors, le(limit));
    expect_that!(seen.ready, some(eq(200)));
    verify_that!(seen.ordinary, some(eq(200)))
}

/// Starts an entry with little memory and few descriptors.
pub(crate) async fn open() -> Fixture {
    let answer = server::Answer::Whole(ANSWER_BYTES);
    Fixture::open_limited(2, answer, MEMORY_MB, Some(DESCRIPTORS)).await
}

/// Starts an entry as the platform does on a machine with little memory and so many descriptors.
pub(crate) async fn open_deployed(descriptors: u64) -> Fixture {
    let answer = server::Answer::Whole(ANSWER_BYTES);
    let limits = json!({
        "cpu_share": 0.25, "cores": 1, "memory_mb": MEMORY_MB, "max_fds": descriptors,
        "link_mbps": 1_000.0, "disk_mb": 0,
    });
    Fixture::open_with(2, answer, |settings| {
        entry::Entry::spawn_deployed(settings, &limits)
    })
    .await
}

/// Starts the crowds at an address of the entry.
async fn run(mut f: Fixture, target: net::SocketAddr, crowds: &[(Sort, usize)]) -> Seen {
    let front = entry::front(f.entry.ip);
    let (mut peak, mut peak_descriptors) = (memory::Memory::default(), 0);
    let calling = async {
        let started = crowds
            .iter()
            .map(|&(sort, count)| Crowd::start(target, sort, count));
        let mut started: Vec<Crowd> = started.collect();
        for crowd in &mut started {
            crowd.sent(SEND_TIMEOUT).await;
        }
        // An entry that leaves bytes unread is checked as it is.
        drop(tokio::time::timeout(READ_TIMEOUT, all_read(&f.entry)).await);
        let ordinary = send_ordinary(front).await;
        let ready = ready(net::SocketAddr::from((f.entry.ip, 8002))).await;
        // The crowds stay until here.
        assert!(started.iter().all(|crowd| crowd.len() > 0));
        (ordinary, ready)
    };
    let counting = async {
        loop {
            let open = f.entry.open_descriptors();
            peak_descriptors = peak_descriptors.max(open.unwrap_or_default());
            let now = f.entry.memory();
            if now.total() > peak.total() {
                peak = now;
            }
            tokio::time::sleep(COUNT_INTERVAL).await;
        }
    };
    let (ordinary, ready) = tokio::select! {
        called = calling => called,
        () = counting => unreachable!("counting does not end"),
    };
    Seen {
        is_running: f.entry.is_running(),
        peak,
        peak_resident: peak_resident(&f.entry),
        peak_descriptors,
        ordinary,
        ready,
    }
}

/// Waits until the entry has read all that it has received.
async fn all_read(entry: &entry::Entry) {
    while entry.memory().unread > 0 {
        tokio::time::sleep(COUNT_INTERVAL).await;
    }
}

fn peak_resident(entry: &entry::Entry) -> u64 {
    if entry.open_descriptors().is_none() {
        return 0;
    }
    entry.peak_memory()
}

/// Sends an ordinary request, again after 503 or a closed connection as callers do; returns the last
/// status.
async fn send_ordinary(front: net::SocketAddr) -> Option<u16> {
    let mut silent = 0;
    for number in 0..ATTEMPTS {
        let id = format!("ordinary-{number}");
        let sending = client::send(front, "/sound/a", &id, client::Body::Whole(1_000));
        let status = match tokio::time::timeout(ATTEMPT_TIMEOUT, sending).await {
            Ok(response) => response.ok().and_then(|response| response.status),
            Err(_) => {
                silent += 1;
                None
            }
        };
        let is_refused = status.is_none() || status == Some(503);
        if !is_refused || silent == SILENT_ATTEMPTS || number + 1 == ATTEMPTS {
            return status;
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
    None
}

/// Asks whether the entry is ready.
async fn ready(address: net::SocketAddr) -> Option<u16> {
    let path = mustardshed::platform::discovery::READY_PATH;
    let asking = client::send(address, path, "ready", client::Body::Empty);
    let asked = tokio::time::timeout(ATTEMPT_TIMEOUT, asking).await;
    asked.ok()?.ok()?.status
}
