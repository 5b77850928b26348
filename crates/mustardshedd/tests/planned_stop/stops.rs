//! Planned stops of one entry.

use std::time;

use googletest::prelude::*;

use rustix::process as posix;

use crate::{client, entry, fixture, oracle};

/// Number of clients.
const CLIENTS: u64 = 24;
/// Time for which clients send requests before the stop.
const LOAD_TIME: time::Duration = time::Duration::from_millis(500);
/// Deadlines of calls; the last one is longer than the grace.
const DEADLINES_MS: [u64; 7] = [300, 500, 700, 1_000, 1_000, 1_000, 20_000];
/// Deadline of streams.
const STREAM_DEADLINE: time::Duration = time::Duration::from_secs(3);
/// Time between the signals of a series.
const SIGNAL_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Time from the signal to a pause.
const PAUSE_AFTER: time::Duration = time::Duration::from_millis(1_800);
/// Duration of a pause.
const PAUSE: time::Duration = time::Duration::from_secs(1);
/// Kinds that are not streams.
const CALLS: [client::Kind; 3] = [client::Kind::Once, client::Kind::Again, client::Kind::Open];
/// Number of clients that read slowly.
const SLOW_READERS: u64 = 6;
/// Size of a long answer.
const LONG_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Pause after each piece of a long answer.
const READ_PAUSE: time::Duration = time::Duration::from_millis(1);
/// Deadline of requests whose answers are read slowly.
const SLOW_READER_DEADLINE: time::Duration = time::Duration::from_secs(1);

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
        read_pause: None,
    }
}

/// Stops an entry under load with `stop`, and checks all requests. Servers take `service_time`.
async fn stop_under_load(
    service_time: time::Duration,
    stop: impl AsyncFnOnce(&mut entry::Entry) -> entry::Stop,
) -> oracle::Report {
    let f = fixture::Fixture::open(service_time).await;
    let mut entry = f.entry().await;
    let load = client::Load::start(CLIENTS, &[entry.ip], plan);
    tokio::time::sleep(LOAD_TIME).await;
    let stop = stop(&mut entry).await;
    let sent = load.finish().await;
    f.check(&sent, &[stop])
}

// Guards against requests that are passed on to a server and cut at the end of a planned stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_passed_on_during_a_planned_stop_are_answered() {
    let service_time = time::Duration::from_millis(900);

    let report = stop_under_load(service_time, async |entry| entry.stop().await).await;

    assert_that!(report.faults(), is_empty(), "{report}");
    assert_that!(report.served_in_grace(), gt(0));
}

// Guards against a second order to stop that ends the process before its requests are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn further_signals_during_a_planned_stop_cut_no_request() {
    let service_time = time::Duration::from_millis(600);

    let report = stop_under_load(service_time, async |entry| {
        let began_at = time::Instant::now();
        for signal in [
            posix::Signal::TERM,
            posix::Signal::TERM,
            posix::Signal::INT,
            posix::Signal::HUP,
            posix::Signal::TERM,
        ] {
            entry.signal(signal);
            tokio::time::sleep(SIGNAL_INTERVAL).await;
        }
        entry.exit(began_at).await
    })
    .await;

    assert_that!(report.faults(), is_empty(), "{report}");
    assert_that!(report.served_in_grace(), gt(0));
}

// Guards against a process that takes the time of a pause for time left, and is killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_during_a_planned_stop_cuts_no_request() {
    let service_time = time::Duration::from_millis(600);

    let report = stop_under_load(service_time, async |entry| {
        let began_at = time::Instant::now();
        entry.signal(posix::Signal::TERM);
        tokio::time::sleep(PAUSE_AFTER).await;
        entry.pause(PAUSE).await;
        entry.exit(began_at).await
    })
    .await;

    assert_that!(report.faults(), is_empty(), "{report}");
    assert_that!(report.served_in_grace(), gt(0));
}

// Guards against an entry that counts its grace from the end of a pause in which SIGTERM was sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pause_at_the_beginning_of_a_planned_stop_cuts_no_request() {
    let service_time = time::Duration::from_millis(600);

    let report = stop_under_load(service_time, async |entry| {
        entry.signal(posix::Signal::STOP);
        let began_at = time::Instant::now();
        entry.signal(posix::Signal::TERM);
        tokio::time::sleep(PAUSE).await;
        entry.signal(posix::Signal::CONT);
        entry.exit(began_at).await
    })
    .await;

    assert_that!(report.faults(), is_empty(), "{report}");
    assert_that!(report.served_in_grace(), gt(0));
}

// Guards against long answers that are cut while a client that is on time still reads them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_answers_to_slow_readers_are_complete_during_a_planned_stop() {
    let f = fixture::Fixture::open(time::Duration::from_millis(100)).await;
    for server in &f.servers {
        server.set_padding(LONG_ANSWER_BYTES);
    }
    let mut entry = f.entry().await;
    let slow = |client, request| client::Plan {
        deadline: SLOW_READER_DEADLINE,
        kind: CALLS[usize::try_from(request % 3).unwrap()],
        read_pause: Some(READ_PAUSE),
        ..plan(client, request)
    };
    let load = client::Load::start(SLOW_READERS, &[entry.ip], slow);
    tokio::time::sleep(LOAD_TIME).await;

    let stop = entry.stop().await;
    let sent = load.finish().await;

    let report = f.check(&sent, &[stop]);
    assert_that!(report.faults(), is_empty(), "{report}");
    assert_that!(report.served_in_grace(), gt(0));
}
