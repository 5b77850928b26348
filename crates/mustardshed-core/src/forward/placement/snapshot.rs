//! Snapshot of the servers among which a request is placed, with their known load.

use std::{collections, time};

use crate::{
    forward::{
        engine, lateness, load_tracker,
        placement::{self, Candidate},
        server,
    },
    ids,
};

/// Time for which a chunk that is being prefilled delays the next one, in milliseconds.
const CHUNK_MS: f64 = 20.0;
/// Longest time that prefills add to a pass with decoding requests, in milliseconds.
const MAX_PREFILL_PER_PASS_MS: f64 = 4_000.0;

/// Servers that accept work.
pub(super) struct Snapshot<'a> {
    pub(super) servers: Vec<ServerSnapshot<'a>>,
    pub(super) profile: &'a engine::Profile,
    pub(super) now: ids::Timestamp,
    /// Number of similar requests that are packed on one server.
    pub(super) packed_jobs: f64,
    /// Cost of occupying a slot for a second.
    slot_cost_per_s: f64,
    /// Times until prompts are prefilled, by request, in milliseconds.
    prefill_done_ms: collections::HashMap<&'a load_tracker::JobKey, f64>,
}

/// A server with its known load.
pub(super) struct ServerSnapshot<'a> {
    pub(super) server: &'a server::Server,
    pub(super) load: load_tracker::Load<'a>,
    pub(super) is_local: bool,
    pub(super) bias: f64,
    pub(super) is_cold: bool,
    /// Whether this entry may send it one more request.
    pub(super) has_share: bool,
    pub(super) is_rate_limited: bool,
    pub(super) failure_score: f64,
    pub(super) slowdown: f64,
    pub(super) backlog_ms: f64,
    pub(super) pass_ms: f64,
}

impl<'a> Snapshot<'a> {
    pub(super) fn new(
        load_tracker: &'a load_tracker::LoadTracker,
        candidates: &[Candidate<'a>],
        profile: &'a engine::Profile,
        now: ids::Timestamp,
    ) -> Self {
        let servers = candidates
            .iter()
            .filter(|candidate| placement::accepts_work(load_tracker, candidate, now))
            .map(|candidate| ServerSnapshot::new(load_tracker, candidate, profile, now));
        let servers: Vec<ServerSnapshot<'a>> = servers.collect();
        let mut prefill_done_ms: collections::HashMap<&load_tracker::JobKey, f64> =
            collections::HashMap::new();
        for prefill in servers.iter().flat_map(|server| &server.load.prefills) {
            let done = prefill_done_ms.entry(prefill.key).or_default();
            *done = done.max(prefill.done_ms);
        }
        let slot_cost_per_s = slot_cost_per_s(&servers, profile);
        let packed_jobs = packed_jobs(&servers, profile);
        Self {
            servers,
            profile,
            now,
            packed_jobs,
            slot_cost_per_s,
            prefill_done_ms,
        }
    }

    /// Returns the mean time until a server has finished its pending prefills.
    pub(super) fn mean_backlog(&self) -> time::Duration {
        let backlogs: f64 = self.servers.iter().map(|server| server.backlog_ms).sum();
        let mean = backlogs / placement::count_f64(self.servers.len()).max(1.0);
        engine::millis(mean).max(placement::MIN_RETRY_AFTER)
    }

    /// Returns the time until a server has no more streams that must end before their entries do.
    pub(super) fn protected_for(&self) -> time::Duration {
        let ends = self.servers.iter().map(|server| {
            let protected = server.load.protected.iter();
            let ends = protected.map(|stream| stream.ends_at);
            ends.max().unwrap_or_default().saturating_sub(self.now)
        });
        let first = ends.min().unwrap_or_default();
        first.max(placement::MIN_RETRY_AFTER)
    }

    /// Returns the cost to a server's other requests if it first prefills another shard.
    pub(super) fn interference(&self, server: &ServerSnapshot<'_>, shard_ms: f64) -> f64 {
        let before = server.decode_gap_ms();
        let after = before + shard_ms;
        let gaps = server.load.decoding.iter().map(|job| {
            let loss = lateness::expected_gap_loss(after, job.gap_objective_ms)
                - lateness::expected_gap_loss(before, job.gap_objective_ms);
            job.weight * loss
        });
        let delays = server.load.prefills.iter().map(|prefill| {
            let known = self
                .prefill_done_ms
                .get(prefill.key)
                .copied()
                .unwrap_or_default();
            let delayed = known.max(prefill.done_ms + shard_ms);
            prefill.job.expected_loss(delayed, self.now)
                - prefill.job.expected_loss(known, self.now)
        });
        // Decoding requests keep their slots for as much longer.
        let slot_seconds = placement::count_f64(server.load.decoding.len()) * shard_ms / 1_000.0;
        gaps.sum::<f64>() + delays.sum::<f64>() + slot_seconds * self.slot_cost_per_s
    }
}

/// Returns how many similar requests are packed on one server, so that they leave others free to
/// prefill and yet wait as little as possible for each other's prompts.
fn packed_jobs(servers: &[ServerSnapshot<'_>], profile: &engine::Profile) -> f64 {
    let jobs: usize = servers
        .iter()
        .map(|server| server.load.primary_jobs.len())
        .sum();
    let decoding_servers = placement::count_f64(servers.len()) - placement::PREFILL_SERVERS;
    let limit = f64::from(profile.slots.max(1)) * placement::MAX_PACKED_SHARE;
    let needed = (placement::count_f64(jobs) + 1.0) / decoding_servers.max(1.0);
    needed.clamp(placement::MIN_PACKED_JOBS.min(limit), limit)
}

/// Returns the cost of occupying a slot for a second: zero while slots are plentiful.
fn slot_cost_per_s(servers: &[ServerSnapshot<'_>], profile: &engine::Profile) -> f64 {
    /// Share of taken slots from which they are scarce.
    const SCARCE_FROM: f64 = 0.35;
    /// Share of taken slots at which the next request may find none.
    const NONE_LEFT_FROM: f64 = 0.75;
    /// Cost where none may be left: a short request takes a slot for about two seconds.
    const SCARCE_COST: f64 = 0.7;
    let slots = placement::count_f64(servers.len()) * f64::from(profile.slots);
    let taken: usize = servers
        .iter()
        .map(|server| server.load.primary_jobs.len())
        .sum();
    let taken = placement::count_f64(taken) / slots.max(1.0);
    let scarcity = (taken - SCARCE_FROM) / (NONE_LEFT_FROM - SCARCE_FROM);
    scarcity.clamp(0.0, 1.0) * SCARCE_COST
}

impl<'a> ServerSnapshot<'a> {
    fn new(
        load_tracker: &'a load_tracker::LoadTracker,
        candidate: &Candidate<'a>,
        profile: &engine::Profile,
        now: ids::Timestamp,
    ) -> Self {
        let server = candidate.server;
        let load = load_tracker.load(&server.id, now);
        let health = load_tracker.health(&server.id);
        let pass_ms = profile.pass_ms(load.decoding.len(), load.context_tokens) * health.slowdown();
        Self {
            server,
            is_local: candidate.is_local,
            bias: candidate.bias,
            is_cold: health.is_cold(now),
            has_share: candidate.has_share(),
            is_rate_limited: candidate.is_rate_limited,
            failure_score: health.failure_score(now),
            slowdown: health.slowdown(),
            backlog_ms: load.backlog_ms(),
            pass_ms,
            load,
        }
    }

    /// Returns the cost of the streams that would be cut at the end of their entries' planned stops
    /// if the server took on work of this engine time, in milliseconds.
    pub(super) fn cut_cost(&self, profile: &engine::Profile, work_ms: f64) -> f64 {
        let protected = self.load.protected.iter();
        let cut = protected.filter(|stream| {
            let later_ms = stream.later.ms(profile) * self.slowdown + work_ms;
            engine::millis(later_ms) > stream.spare
        });
        placement::count_f64(cut.count()) * placement::CUT_COST
    }

    /// Returns the longest gap between events of its decoding requests, in milliseconds.
    pub(super) fn decode_gap_ms(&self) -> f64 {
        self.pass_ms + self.backlog_ms.min(MAX_PREFILL_PER_PASS_MS)
    }

    /// Returns the time until the server starts on new work, in milliseconds.
    pub(super) fn start_delay_ms(&self) -> f64 {
        if self.load.decoding.is_empty() {
            return self.backlog_ms.min(CHUNK_MS);
        }
        self.decode_gap_ms() / 2.0
    }

    /// Returns the time until it has prefilled a new shard that it starts on at once, in
    /// milliseconds; if it also decodes, the pass with the prefill must end.
    pub(super) fn prefill_done_ms(&self, shard_ms: f64) -> f64 {
        let pass = if self.load.decoding.is_empty() {
            0.0
        } else {
            self.pass_ms
        };
        self.start_delay_ms() + shard_ms + pass
    }

    /// Returns how many more tokens fit into its KV memory.
    pub(super) fn free_tokens(&self, profile: &engine::Profile) -> ids::Tokens {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a memory size is a valid size"
        )]
        let size = (engine::tokens_f64(profile.memory_tokens) * placement::USABLE_MEMORY_SHARE)
            as ids::Tokens;
        size.saturating_sub(self.load.memory_tokens)
    }

    /// Returns how many tokens it may be ordered to hold for another server.
    pub(super) fn reservable_tokens(&self, profile: &engine::Profile) -> ids::Tokens {
        if self.is_rate_limited {
            return 0;
        }
        self.free_tokens(profile)
    }

    /// Returns whether it may prefill a shard of another server's prompt.
    pub(super) fn can_help(&self, profile: &engine::Profile) -> bool {
        self.load.helper_jobs < usize::try_from(profile.slots).unwrap_or(usize::MAX)
    }

    /// Returns whether it may be sent one more request, for which it has a slot.
    pub(super) fn can_respond(&self, profile: &engine::Profile) -> bool {
        let slots = profile.slots.min(self.server.slots.max(1));
        self.has_share
            && self.load.primary_jobs.len() < usize::try_from(slots).unwrap_or(usize::MAX)
    }
}
