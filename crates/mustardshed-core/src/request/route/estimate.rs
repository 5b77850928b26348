//! Estimate of the time to first token on one backend server.

use std::{fmt, time};

use crate::{boundary::backend_server, ids, process::snapshot, request::route::work};

/// Factor by which a cold engine prefills more slowly.
const COLD_SLOWDOWN: f64 = 4.0;
/// Estimated wait for one running request to end, on a server without a free slot.
const SLOT_WAIT: time::Duration = time::Duration::from_millis(400);
/// Estimated wait for a server's whole memory to become free.
const MEMORY_WAIT: time::Duration = time::Duration::from_secs(4);
/// Penalty of a server whose memory or slots are all in use, so that equal ones are used evenly.
const USE_PENALTY: time::Duration = time::Duration::from_millis(20);
/// Divisor of a report's age that yields the allowance for what the report does not show.
const AGE_DIVISOR: u32 = 20;
/// Age of a report above which the allowance does not grow.
const MAX_AGE: time::Duration = time::Duration::from_secs(10);
/// Upper limit of one part of an estimate.
const MAX_PART: time::Duration = time::Duration::from_secs(86_400);

/// Estimated time to first token, part by part.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Estimate {
    /// Prefill of prompts that run before this one.
    pub queue: time::Duration,
    /// Prefill of the prompt's own uncached tokens.
    pub prefill: time::Duration,
    /// Wait for a free slot or free memory.
    pub capacity: time::Duration,
    /// Network round trip between this entry and the server.
    pub round_trip: time::Duration,
    /// Allowance for load that the report does not show yet.
    pub age: time::Duration,
}

impl Estimate {
    /// Returns the sum of the parts.
    pub fn total(&self) -> time::Duration {
        self.queue + self.prefill + self.capacity + self.round_trip + self.age
    }
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "queue {} ms, prefill {} ms, capacity {} ms, round trip {} us, report age {} ms",
            self.queue.as_millis(),
            self.prefill.as_millis(),
            self.capacity.as_millis(),
            self.round_trip.as_micros(),
            self.age.as_millis(),
        )
    }
}

/// Estimates the time to first token of `work` on `server`.
pub fn estimate(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    server: &snapshot::ServerView,
    now: ids::Timestamp,
) -> Estimate {
    let speed = prefill_speed(work, server);
    Estimate {
        queue: prefill_time(tokens_ahead(snapshot, work, server), speed),
        prefill: prefill_time(work.uncached_tokens(server), speed),
        capacity: slot_wait(work, server) + memory_wait(work, server),
        round_trip: 2 * latency(snapshot, server),
        age: report_age(server, now) / AGE_DIVISOR,
    }
}

/// Returns the tokens that are prefilled before this work's own.
///
/// Engines take prompts by priority and then by arrival, so that no more than the running
/// requests, each with the longest prompt of this priority class, can be ahead.
fn tokens_ahead(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    server: &snapshot::ServerView,
) -> ids::Tokens {
    let routed = work
        .recent
        .map(|recent| recent.since(&server.id, snapshot.taken_at))
        .unwrap_or_default();
    let running = server.running.saturating_add(routed.requests);
    let queued = server
        .queued_prefill_tokens
        .saturating_add(routed.prefill_tokens);
    let limit = work
        .priority_class()
        .max_prompt_tokens()
        .saturating_mul(u64::from(running));
    queued.min(limit)
}

fn prefill_speed(work: &work::Work<'_>, server: &snapshot::ServerView) -> f64 {
    let work::Target::Model { kind, .. } = work.target else {
        return f64::INFINITY;
    };
    let assumed = f64::from(kind.prefill_tokens_per_second.max(1));
    let learned = server.prefill_tokens_per_second;
    let speed = if learned > 0.0 { learned } else { assumed };
    match server.warmth {
        backend_server::Warmth::Cold => speed.min(assumed) / COLD_SLOWDOWN,
        backend_server::Warmth::Warm => speed,
    }
}

fn prefill_time(tokens: ids::Tokens, tokens_per_second: f64) -> time::Duration {
    let seconds = tokens as f64 / tokens_per_second;
    time::Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_PART)
        .min(MAX_PART)
}

/// Returns how many requests a server runs at once, at most.
pub fn running_limit(work: &work::Work<'_>, server: &snapshot::ServerView) -> u32 {
    let (warm, cold) = match work.target {
        work::Target::Model { kind, .. } => (kind.max_running, kind.cold_limit),
        work::Target::Plain {
            max_running,
            cold_limit,
            ..
        } => (max_running, cold_limit),
    };
    match server.warmth {
        backend_server::Warmth::Cold => cold.min(warm),
        backend_server::Warmth::Warm => warm,
    }
}

fn slot_wait(work: &work::Work<'_>, server: &snapshot::ServerView) -> time::Duration {
    let limit = running_limit(work, server);
    if server.running < limit {
        return USE_PENALTY.mul_f64(f64::from(server.running) / f64::from(limit));
    }
    SLOT_WAIT.saturating_mul(server.running - limit + 1)
}

fn memory_wait(work: &work::Work<'_>, server: &snapshot::ServerView) -> time::Duration {
    if server.memory_tokens == 0 {
        return time::Duration::ZERO;
    }
    let wanted = server.used_tokens.saturating_add(work.memory_tokens);
    let missing = wanted.saturating_sub(server.memory_tokens);
    let part = missing as f64 / server.memory_tokens as f64;
    let used = server.used_tokens as f64 / server.memory_tokens as f64;
    MEMORY_WAIT.mul_f64(part.min(1.0)) + USE_PENALTY.mul_f64(used.min(1.0))
}

fn latency(snapshot: &snapshot::Snapshot, server: &snapshot::ServerView) -> time::Duration {
    snapshot
        .latencies
        .get(&server.data_centre)
        .copied()
        .unwrap_or_default()
}

fn report_age(server: &snapshot::ServerView, now: ids::Timestamp) -> time::Duration {
    now.saturating_sub(server.reported_at).min(MAX_AGE)
}
