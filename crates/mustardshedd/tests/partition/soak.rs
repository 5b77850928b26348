//! Series of lost paths, ended servers and paused entries that overlap, at random moments that follow
//! from a seed.
//!
//! `MUSTARDSHED_SOAK_SEED` sets the first seed and `MUSTARDSHED_SOAK_RUNS` the number of runs.

use std::time;

use futures_util::future;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{client, entry, fixture, oracle, path::State};

/// Variable with the first seed.
const SEED_VARIABLE: &str = "MUSTARDSHED_SOAK_SEED";
/// Variable with the number of runs.
const RUNS_VARIABLE: &str = "MUSTARDSHED_SOAK_RUNS";
/// First seed if none is set.
const DEFAULT_SEED: u64 = 1;
/// Number of runs if none is set.
const DEFAULT_RUNS: u64 = 2;
/// Data centres of the entries.
const DATA_CENTRES: [&str; 4] = ["north", "north", "south", "south"];
/// Number of clients.
const CLIENTS: u64 = 16;
/// Time during which paths are lost.
const DURATION: time::Duration = time::Duration::from_secs(8);
/// Time after the last disturbance within which all callers are served again: longer than a server
/// is ejected.
const RECOVERY_TIME: time::Duration = time::Duration::from_secs(4);
/// Time for which requests are counted after that.
const COUNTING_TIME: time::Duration = time::Duration::from_secs(1);
/// Most of these that may fail, as a share.
const MAX_FAILED_SHARE: f64 = 1.0 / 50.0;
/// States of lost paths.
const LOST: [State; 3] = [State::Hangs, State::Resets, State::RefusesNew];

fn rng(seed: u64, stream: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000) + stream)
}

fn pick<T: Copy>(rng: &mut Pcg64Mcg, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

async fn sleep(rng: &mut Pcg64Mcg, ms: std::ops::Range<u64>) {
    tokio::time::sleep(time::Duration::from_millis(rng.random_range(ms))).await;
}

/// Cuts an entry off from all servers, or from some of them, again and again.
async fn cut_entry(f: &fixture::Fixture, entry: usize, mut rng: Pcg64Mcg) {
    loop {
        sleep(&mut rng, 100..2_500).await;
        let state = pick(&mut rng, &LOST);
        if rng.random_bool(0.6) {
            f.set_paths(entry, state);
        } else {
            for server in 0..f.servers.len() {
                if rng.random_bool(0.7) {
                    f.set_path(entry, server, state);
                }
            }
        }
        sleep(&mut rng, 300..3_000).await;
        f.set_paths(entry, State::Open);
    }
}

/// Lets single servers end, or fall silent for a second, again and again.
async fn disturb_servers(f: &fixture::Fixture, mut rng: Pcg64Mcg) {
    loop {
        sleep(&mut rng, 500..2_000).await;
        let server = rng.random_range(0..f.servers.len());
        let state = pick(&mut rng, &[State::Resets, State::Silent]);
        for entry in 0..DATA_CENTRES.len() {
            f.set_path(entry, server, state);
        }
        sleep(&mut rng, 300..1_000).await;
        for entry in 0..DATA_CENTRES.len() {
            f.set_path(entry, server, State::Open);
        }
    }
}

/// Pauses an entry again and again.
async fn pause(entry: &mut entry::Entry, mut rng: Pcg64Mcg) {
    loop {
        sleep(&mut rng, 500..6_000).await;
        let pause = time::Duration::from_millis(rng.random_range(200..1_500));
        entry.pause(pause).await;
    }
}

/// Returns whether a stream was broken off: two cuts of its paths use up its attempts.
fn is_broken_stream(req: &client::Sent) -> bool {
    let is_broken = |reason: &str| reason.contains("error reading a body");
    req.plan.kind == client::Kind::Stream
        && matches!(&req.outcome, client::Outcome::Broken(reason) if is_broken(reason))
}

/// Result of one run.
struct Run {
    report: oracle::Report,
    failed_share: f64,
    /// Log lines of the entries about lost paths and crashes.
    log: Vec<String>,
}

/// Events that tell why requests are refused after the paths are back.
const LOGGED: [&str; 4] = [
    "server_crashed",
    "request_quarantined",
    "paths_lost",
    "paths_restored",
];

fn log(entries: &[entry::Entry]) -> Vec<String> {
    let is_wanted = |line: &&str| LOGGED.iter().any(|name| line.contains(name));
    let logs = entries.iter().map(|entry| (entry.index, entry.log()));
    let lines = logs.flat_map(|(index, log)| {
        let lines = log.lines().filter(is_wanted);
        lines
            .map(|line| format!("entry {index}: {line}"))
            .collect::<Vec<String>>()
    });
    lines.collect()
}

async fn run(seed: u64) -> Run {
    let mut f = fixture::Fixture::open(&DATA_CENTRES).await;
    let load = f.load(CLIENTS);
    let mut paused = f.entries.pop().unwrap();
    let cuts = (0..DATA_CENTRES.len()).map(|entry| {
        let rng = rng(seed, 10 + u64::try_from(entry).unwrap());
        cut_entry(&f, entry, rng)
    });
    let disturbing = future::join3(
        future::join_all(cuts),
        disturb_servers(&f, rng(seed, 1)),
        pause(&mut paused, rng(seed, 2)),
    );
    drop(tokio::time::timeout(DURATION, disturbing).await);
    paused.signal(rustix::process::Signal::CONT);
    f.entries.push(paused);
    for entry in 0..DATA_CENTRES.len() {
        f.set_paths(entry, State::Open);
    }
    tokio::time::sleep(RECOVERY_TIME).await;
    let recovered_at = time::Instant::now();
    tokio::time::sleep(COUNTING_TIME).await;
    let mut sent = load.finish().await;
    sent.retain(|req| !is_broken_stream(req));
    let late: Vec<&client::Sent> = sent
        .iter()
        .filter(|req| req.sent_at >= recovered_at)
        .collect();
    let failed = late
        .iter()
        .filter(|req| req.outcome != client::Outcome::Answered(200));
    let count = |len: usize| f64::from(u32::try_from(len).unwrap());
    Run {
        report: f.check(&sent, &[]),
        log: log(&f.entries),
        failed_share: count(failed.count()) / count(late.len()),
    }
}

fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable);
    text.map_or(default, |text| text.parse().unwrap())
}

// Guards against calls that run twice, false answers and lasting refusals while paths are lost in
// series that overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_paths_in_series_lose_no_request() {
    let first = number(SEED_VARIABLE, DEFAULT_SEED);
    let runs = number(RUNS_VARIABLE, DEFAULT_RUNS);
    let mut failed = Vec::new();
    for seed in first..first + runs {
        let run = run(seed).await;
        let share = run.failed_share;
        println!(
            "seed {seed}: {}, failed after recovery {share:.3}",
            run.report.summary()
        );
        if !run.report.faults().is_empty() || share > MAX_FAILED_SHARE {
            let log = run.log.join("\n");
            failed.push(format!("seed {seed}: {share:.3} {}\n{log}", run.report));
        }
    }

    assert_that!(failed, is_empty(), "{}", failed.join("\n"));
}
