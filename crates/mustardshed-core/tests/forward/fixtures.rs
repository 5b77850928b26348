//! Engines, servers and requests modelled on `examples/bindery.toml`.

use std::time;

use mustardshed_core::{
    forward::{engine, load_tracker, placement, relays, server},
    ids,
};
use proptest::test_runner;

/// Returns the configuration of property tests, which play the same cases on every run.
pub(crate) fn property_config() -> test_runner::Config {
    test_runner::Config {
        rng_seed: test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

/// A time at which nothing has happened yet.
pub(crate) const START: ids::Timestamp = time::Duration::from_secs(100);

pub(crate) fn profile() -> engine::Profile {
    engine::Profile {
        slots: 16,
        memory_tokens: 450_000,
        steps_per_pass: 46,
        step_ms: 0.925,
        step_ms_per_sequence: 0.004_83,
        step_ms_per_1k_context: 0.002_54,
        prefill_tokens_per_s: 256_000.0,
        prefill_ms_per_million_pairs: 0.091_7,
        typical_output_tokens: 1_540,
    }
}

pub(crate) fn servers(count: usize) -> Vec<server::Server> {
    (0..count)
        .map(|i| server(&format!("engine-{i:02}")))
        .collect()
}

pub(crate) fn server(id: &str) -> server::Server {
    server::Server {
        id: id.to_owned(),
        service: "drafts".to_owned(),
        address: "10.0.0.1:8000".to_owned(),
        data_centre: "north".to_owned(),
        slots: 16,
        state: server::State::Ready,
        cold_for: time::Duration::ZERO,
        started_unix_ms: None,
    }
}

pub(crate) fn short_request(arrived_at: ids::Timestamp) -> placement::Need {
    need(5_000, 300.0, 200.0, 2_000.0, arrived_at)
}

pub(crate) fn medium_request(arrived_at: ids::Timestamp) -> placement::Need {
    need(45_000, 1_500.0, 500.0, 6_000.0, arrived_at)
}

pub(crate) fn long_request(
    prompt_tokens: ids::Tokens,
    arrived_at: ids::Timestamp,
) -> placement::Need {
    need(prompt_tokens, 3_000.0, 800.0, 12_000.0, arrived_at)
}

fn need(
    prompt_tokens: ids::Tokens,
    objective_ms: f64,
    gap_objective_ms: f64,
    timeout_ms: f64,
    arrived_at: ids::Timestamp,
) -> placement::Need {
    placement::Need {
        prompt_tokens,
        output_tokens: 1_500,
        objective_ms,
        timeout_ms,
        arrived_at,
        gap_objective_ms,
        is_retry: false,
        max_cost_share: 1.0,
        urgency: 1.0,
        stop: None,
    }
}

/// Registered entries.
pub(crate) fn members(count: usize) -> relays::Members {
    let members = (0..count).map(|i| {
        let member = relays::Member {
            peer_address: format!("10.0.0.{i}:8004"),
            data_centre: "north".to_owned(),
            cpu_cores: 0.12,
        };
        (format!("entry-{i}"), member)
    });
    members.collect()
}

pub(crate) fn candidates(servers: &[server::Server]) -> Vec<placement::Candidate<'_>> {
    let candidates = servers.iter().map(|server| placement::Candidate {
        server,
        is_local: true,
        bias: 0.0,
        cold_rate_limit: None,
        share_left: None,
        is_rate_limited: false,
    });
    candidates.collect()
}

/// A fleet on which requests are placed and stay until they are ended.
pub(crate) struct Fleet {
    pub(crate) servers: Vec<server::Server>,
    pub(crate) load_tracker: load_tracker::LoadTracker,
    next: u64,
}

impl Fleet {
    pub(crate) fn new(count: usize) -> Self {
        Self {
            servers: servers(count),
            load_tracker: load_tracker::LoadTracker::default(),
            next: 0,
        }
    }

    pub(crate) fn place(
        &self,
        need: &placement::Need,
        now: ids::Timestamp,
    ) -> Result<placement::Placed, placement::NotPlaced> {
        placement::place(
            &self.load_tracker,
            &candidates(&self.servers),
            &profile(),
            need,
            now,
        )
    }

    pub(crate) fn send(
        &mut self,
        need: &placement::Need,
        now: ids::Timestamp,
    ) -> (placement::Placed, load_tracker::JobKey) {
        let placed = self.place(need, now).expect("a placement");
        let key = self.start(placed.job(need), now);
        (placed, key)
    }

    pub(crate) fn start(
        &mut self,
        job: load_tracker::Job,
        now: ids::Timestamp,
    ) -> load_tracker::JobKey {
        self.next += 1;
        let key = load_tracker::JobKey {
            vm: "entry-1".to_owned(),
            number: self.next,
        };
        self.load_tracker.send(&key, job, now);
        key
    }

    /// Starts `count` decoding short requests on a server.
    pub(crate) fn decode_short_requests(
        &mut self,
        server: &str,
        count: usize,
        now: ids::Timestamp,
    ) {
        for _ in 0..count {
            let need = short_request(now);
            let mut job = placement::Placed::plain(&server.to_owned()).job(&need);
            job.is_decoding = true;
            self.start(job, now);
        }
    }
}

/// Returns the servers that prefill a request, the primary first.
pub(crate) fn prefill_servers(placed: &placement::Placed) -> Vec<&str> {
    let helpers = placed.helpers.iter().map(|helper| helper.server.as_str());
    std::iter::once(placed.primary.as_str())
        .chain(helpers)
        .collect()
}
