//! Planned stops of one entry.

use std::time;

use googletest::prelude::*;

use crate::{client, fixture};

/// Number of clients.
const CLIENTS: u64 = 24;
/// Time for which clients send requests before the stop.
const LOAD_TIME: time::Duration = time::Duration::from_millis(500);
/// Deadlines of calls; the last one is longer than the grace.
const DEADLINES_MS: [u64; 7] = [300, 500, 700, 1_000, 1_000, 1_000, 20_000];
/// Deadline of streams.
const STREAM_DEADLINE: time::Duration = time::Duration::from_secs(3);

/// Returns requests of all kinds in turn.
fn plan(client: u64, request: u64) -> client::Plan {
    let kind = client::Kind::ALL[usize::try_from((client + request) % 4).unwrap()];
    let deadline = usize::try_from((client * 3 + request) % 7).unwrap();
    let deadline = time::Duration::from_millis(DEADLINES_MS[deadline]);
    client::Plan {
        entry: 0,
        kind,
        has_body: (client + request / 4).is_multiple_of(2),
        deadline: if kind == client::Kind::Stream {
            STREAM_DEADLINE
        } else {
            deadline
        },
    }
}

// Guards against requests that are passed on to a server and cut at the end of a planned stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_passed_on_during_a_planned_stop_are_answered() {
    let f = fixture::Fixture::open(time::Duration::from_millis(900)).await;
    let mut entry = f.entry().await;
    let load = client::Load::start(CLIENTS, &[entry.ip], plan);
    tokio::time::sleep(LOAD_TIME).await;

    let stop = entry.stop().await;
    let sent = load.finish().await;

    let report = f.check(&sent, &[stop]);
    assert_that!(report.faults(), is_empty(), "{report}");
}
