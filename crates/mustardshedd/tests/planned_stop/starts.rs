//! Signals to an entry that has just been started.

use std::time;

use futures_util::future;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rustix::process as posix;

use crate::{client, entry, fixture, oracle};

/// Number of entries that are started at the same time.
const AT_ONCE: usize = 4;
/// Number of times that this is done.
const ROUNDS: u64 = 4;
/// Latest moment of the signal after the start.
const MAX_DELAY: time::Duration = time::Duration::from_millis(300);
/// Latest moment of every other signal, about when listeners are bound.
const EARLY_DELAY: time::Duration = time::Duration::from_millis(30);
/// Time after which an entry that was told to reload its settings is stopped.
const TIME_TO_RELOAD: time::Duration = time::Duration::from_millis(200);
/// Time that servers take.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(300);
/// Deadline of requests.
const DEADLINE: time::Duration = time::Duration::from_secs(1);
/// Number of clients of each entry.
const CLIENTS: u64 = 4;

/// When a signal is sent to an entry.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// So long after the start.
    After(time::Duration),
    /// As soon as the first listener is bound.
    Listening,
}

fn plan(client: u64, request: u64) -> client::Plan {
    let kind = usize::try_from((client + request) % 4).unwrap();
    client::Plan {
        entry: 0,
        kind: client::Kind::ALL[kind],
        has_body: request.is_multiple_of(2),
        deadline: DEADLINE,
        read_pause: None,
    }
}

/// Returns random moments, early ones and late ones.
fn moments(seed: u64) -> Vec<Moment> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let delays = (0..AT_ONCE).map(|i| {
        let max = if i.is_multiple_of(2) {
            EARLY_DELAY
        } else {
            MAX_DELAY
        };
        Moment::After(max.mul_f64(rng.random()))
    });
    delays.chain([Moment::Listening; 3]).collect()
}

/// Starts an entry under load, sends it a signal and, unless that is SIGTERM, stops it afterwards.
async fn start_and_signal(
    f: &fixture::Fixture,
    moment: Moment,
    signal: posix::Signal,
) -> oracle::Report {
    let ip = entry::unique_ip();
    let load = client::Load::start(CLIENTS, &[ip], plan);
    let mut entry = f.spawn(0, ip);
    match moment {
        Moment::After(delay) => tokio::time::sleep(delay).await,
        Moment::Listening => entry.listening().await,
    }
    let mut began_at = time::Instant::now();
    entry.signal(signal);
    if signal != posix::Signal::TERM {
        tokio::time::sleep(TIME_TO_RELOAD).await;
        began_at = time::Instant::now();
        entry.signal(posix::Signal::TERM);
    }
    let stop = entry.exit(began_at).await;
    let sent = load.finish().await;
    f.check(&sent, &[stop])
}

/// Starts entries and sends each a signal; returns what went wrong.
async fn faults_of_signalled_starts(signal: posix::Signal) -> Vec<String> {
    let f = fixture::Fixture::open(SERVICE_TIME).await;
    let mut faults = Vec::new();
    for seed in 0..ROUNDS {
        let moments = moments(seed);
        let starts = moments.iter().map(|at| start_and_signal(&f, *at, signal));
        let all = future::join_all(starts).await;
        for (moment, report) in moments.iter().zip(all) {
            if !report.faults().is_empty() {
                faults.push(format!("seed {seed}, {moment:?}: {report}"));
            }
        }
    }
    faults
}

// Guards against an entry without signal handlers that SIGTERM ends although it takes requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_during_the_start_is_a_planned_stop() {
    let faults = faults_of_signalled_starts(posix::Signal::TERM).await;

    assert_that!(faults, is_empty(), "{}", faults.join("\n"));
}

// Guards against an entry without signal handlers that SIGHUP ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_during_the_start_does_not_end_the_process() {
    let faults = faults_of_signalled_starts(posix::Signal::HUP).await;

    assert_that!(faults, is_empty(), "{}", faults.join("\n"));
}

// Guards against entries that serve nothing once all of them were killed and started again, while the
// name of another writer's entry ends a page of the list of servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_all_start_again_beside_an_odd_name_serve() {
    let f = fixture::Fixture::open(time::Duration::ZERO).await;
    let ips = [entry::unique_ip(), entry::unique_ip()];
    let start_all = || future::join_all([0, 1].map(|i| f.spawn(i, ips[i]).ready()));
    let entries = start_all().await;

    f.list_odd("&a").await;
    drop(entries);
    let entries = start_all().await;
    let mut client = client::Client::open(&ips);
    let mut outcomes = Vec::new();
    for request in 0..8 {
        let entry = usize::try_from(request % 2).unwrap();
        let plan = client::Plan {
            entry,
            ..plan(0, request / 2)
        };
        outcomes.push(client.send(plan).await.unwrap().outcome);
    }

    assert_that!(outcomes, each(eq(&client::Outcome::Answered(200))));
    drop(entries);
}
