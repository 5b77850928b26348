//! Series of planned stops of several entries, at random moments that follow from a seed.
//!
//! `MUSTARDSHED_SOAK_SEED` sets the first seed and `MUSTARDSHED_SOAK_RUNS` the number of runs.

use std::{net, time};

use futures_util::future;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process as posix;

use crate::{client, entry, fixture, oracle, server};

/// Variable with the first seed.
const SEED_VARIABLE: &str = "MUSTARDSHED_SOAK_SEED";
/// Variable with the number of runs.
const RUNS_VARIABLE: &str = "MUSTARDSHED_SOAK_RUNS";
/// First seed if none is set.
const DEFAULT_SEED: u64 = 1;
/// Number of runs if none is set.
const DEFAULT_RUNS: u64 = 2;
/// Number of entries.
const ENTRIES: usize = 3;
/// Number of clients.
const CLIENTS: u64 = 18;
/// Time during which entries are signalled, in milliseconds.
const DURATION_MS: u64 = 10_000;
/// Times that servers take during a spell, in milliseconds.
const SERVICE_TIMES_MS: [u64; 6] = [10, 50, 200, 600, 900, 3_000];
/// Deadlines of calls, in milliseconds.
const DEADLINES_MS: [u64; 6] = [300, 500, 800, 1_000, 1_000, 20_000];
/// Deadlines of streams, in milliseconds.
const STREAM_DEADLINES_MS: [u64; 3] = [2_500, 6_000, 20_000];
/// Duration of a pause, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// What is done to an entry.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// Signals, the first of which begins a planned stop, at these times in milliseconds.
    Stop(&'static [(u64, posix::Signal)]),
    /// A planned stop with a pause that begins after so many milliseconds.
    StopAndPause(u64),
    /// A reload of the settings.
    Reload,
    /// A pause of so many milliseconds.
    Pause(u64),
}

/// Series of signals of a planned stop.
const SERIES: [&[(u64, posix::Signal)]; 5] = [
    &[(0, posix::Signal::TERM)],
    &[(0, posix::Signal::TERM), (30, posix::Signal::TERM)],
    &[(0, posix::Signal::TERM), (1_500, posix::Signal::INT)],
    &[(0, posix::Signal::INT), (900, posix::Signal::TERM)],
    &[
        (0, posix::Signal::TERM),
        (400, posix::Signal::HUP),
        (3_400, posix::Signal::TERM),
    ],
];

fn order(rng: &mut Pcg64Mcg) -> Order {
    match rng.random_range(0..9) {
        0..5 => Order::Stop(SERIES[rng.random_range(0..SERIES.len())]),
        5 | 6 => Order::StopAndPause(rng.random_range(50..2_000)),
        7 => Order::Reload,
        _ => Order::Pause(rng.random_range(200..PAUSE_MS)),
    }
}

/// Returns a random stream of numbers for one part of a run.
fn rng(seed: u64, part: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000_003).wrapping_add(part))
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(time::Duration::from_millis(ms)).await;
}

fn pick<T: Copy>(rng: &mut Pcg64Mcg, from: &[T]) -> T {
    from[rng.random_range(0..from.len())]
}

/// Signals one entry and restarts it after each stop; returns its stops.
async fn operate(
    f: &fixture::Fixture,
    index: usize,
    ip: net::Ipv4Addr,
    mut rng: Pcg64Mcg,
) -> Vec<entry::Stop> {
    let began_at = time::Instant::now();
    let is_over = || began_at.elapsed() >= time::Duration::from_millis(DURATION_MS);
    let mut stops = Vec::new();
    let mut entry = f.spawn(index, ip).ready().await;
    while !is_over() {
        sleep_ms(rng.random_range(100..2_500)).await;
        entry.listening().await;
        if let Some(stop) = carry_out(order(&mut rng), &mut entry).await {
            stops.push(stop);
            sleep_ms(rng.random_range(0..500)).await;
            entry = f.spawn(index, ip);
        }
    }
    entry.listening().await;
    stops.push(entry.stop().await);
    stops
}

/// Carries out an order; returns how the stop went if it was one.
async fn carry_out(order: Order, entry: &mut entry::Entry) -> Option<entry::Stop> {
    let began_at = time::Instant::now();
    match order {
        Order::Stop(series) => {
            for (after_ms, signal) in series {
                let at = began_at + time::Duration::from_millis(*after_ms);
                tokio::time::sleep_until(at.into()).await;
                entry.signal(*signal);
            }
        }
        Order::StopAndPause(after_ms) => {
            entry.signal(posix::Signal::TERM);
            sleep_ms(after_ms).await;
            entry.pause(time::Duration::from_millis(PAUSE_MS)).await;
        }
        Order::Reload => {
            entry.signal(posix::Signal::HUP);
            return None;
        }
        Order::Pause(ms) => {
            entry.pause(time::Duration::from_millis(ms)).await;
            return None;
        }
    }
    Some(entry.exit(began_at).await)
}

/// Changes the configuration and the speed of the servers until it is dropped.
async fn disturb(f: &fixture::Fixture, mut rng: Pcg64Mcg) {
    for version in 2.. {
        for server in &f.servers {
            disturb_server(server, &mut rng);
        }
        f.configure(version).await;
        sleep_ms(rng.random_range(200..2_000)).await;
    }
}

fn disturb_server(server: &server::Server, rng: &mut Pcg64Mcg) {
    let ms = pick(rng, &SERVICE_TIMES_MS);
    server.set_service_time(time::Duration::from_millis(ms));
    server.set_rejecting(rng.random_bool(0.1));
}

fn plan(rng: &mut Pcg64Mcg) -> client::Plan {
    let kind = pick(rng, &client::Kind::ALL);
    let deadlines: &[u64] = if kind == client::Kind::Stream {
        &STREAM_DEADLINES_MS
    } else {
        &DEADLINES_MS
    };
    client::Plan {
        entry: rng.random_range(0..ENTRIES),
        kind,
        has_body: rng.random(),
        deadline: time::Duration::from_millis(pick(rng, deadlines)),
        read_pause: None,
    }
}

/// Runs entries under load through a series of planned stops.
async fn run(seed: u64) -> oracle::Report {
    let f = fixture::Fixture::open(time::Duration::from_millis(50)).await;
    let ips: Vec<net::Ipv4Addr> = (0..ENTRIES).map(|_| entry::unique_ip()).collect();
    let mut rngs: Vec<Pcg64Mcg> = (0..CLIENTS).map(|i| rng(seed, 100 + i)).collect();
    let load = client::Load::start(CLIENTS, &ips, move |client, _| {
        plan(&mut rngs[usize::try_from(client).unwrap()])
    });
    let operators = ips.iter().zip(0..);
    let operators = operators.map(|(ip, index)| {
        let rng = rng(seed, 10 + u64::try_from(index).unwrap());
        operate(&f, index, *ip, rng)
    });
    let stops = tokio::select! {
        stops = future::join_all(operators) => stops,
        () = disturb(&f, rng(seed, 1)) => Vec::new(),
    };
    let sent = load.finish().await;
    f.check(&sent, &stops.concat())
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable);
    text.map_or(default, |text| text.parse().unwrap())
}

// Guards against requests that are cut by planned stops which overlap with one another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stops_in_series_cut_no_request() {
    let first = number(SEED_VARIABLE, DEFAULT_SEED);
    let runs = number(RUNS_VARIABLE, DEFAULT_RUNS);
    let mut failed = Vec::new();
    for seed in first..first + runs {
        let report = run(seed).await;
        println!("seed {seed}: {}", report.summary());
        if !report.faults().is_empty() {
            failed.push(format!("seed {seed}: {report}"));
        }
    }

    assert_that!(failed, is_empty(), "{}", failed.join("\n"));
}
