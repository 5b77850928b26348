//! Deployments at their current size.

use std::time;

use crate::fleet::spec;

/// KV memory of one engine, in tokens.
const MEMORY_TOKENS: u64 = 400_000;
/// Prefill speed of one engine, in tokens per second.
const PREFILL_TPS: u32 = 40_000;
/// Decode steps of one engine per second.
const DECODE_TPS: u32 = 50;
/// Maximum prefill tokens per step; a full step takes 25.6 ms.
const CHUNK_TOKENS: u64 = 1_024;

/// A deployment with two kinds of engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of engines of the kind that gets the load.
    pub engines: usize,
    /// Number of engines of the other kind.
    pub other_engines: usize,
    /// Number of entries.
    pub entries: usize,
    /// Model that gets the load.
    pub model: &'static str,
    /// One-way delay between data centres.
    pub delay_between: time::Duration,
    /// One-way delay to callers.
    pub caller_delay: time::Duration,
}

/// The bindery: 16 drafting and 3 ledger runners, 8 entries.
pub const BINDERY: Deployment = Deployment {
    name: "bindery",
    engines: 16,
    other_engines: 3,
    entries: 8,
    model: "drafting-model",
    delay_between: time::Duration::from_micros(1_500),
    caller_delay: time::Duration::from_millis(1),
};

/// The haulers: 23 assistant and 3 dispatch runners, 8 entries.
pub const HAULERS: Deployment = Deployment {
    name: "haulers",
    engines: 23,
    other_engines: 3,
    entries: 8,
    model: "assistant-model",
    delay_between: time::Duration::from_micros(500),
    caller_delay: time::Duration::from_millis(3),
};

impl Deployment {
    /// Returns the fleet's specification, over three data centres.
    pub fn spec(&self, routing: &'static str, time_scale: f64) -> spec::Spec {
        let mut spec = spec::Spec::small(0, self.entries);
        let data_centres = spec.data_centres.clone();
        let engine = |i: usize, kind: &str, model: &str| spec::Engine {
            name: format!("{kind}-{i}"),
            kind: kind.to_owned(),
            data_centre: data_centres[i % data_centres.len()].clone(),
            memory_tokens: MEMORY_TOKENS,
            prefill_tps: PREFILL_TPS,
            decode_tps: DECODE_TPS,
            chunk_tokens: CHUNK_TOKENS,
            max_running: 64,
            cold_limit: 2,
            model: model.to_owned(),
            fencing: "checked".to_owned(),
            start_cold: false,
        };
        let loaded = (0..self.engines).map(|i| engine(i, "loaded", self.model));
        let others = (0..self.other_engines).map(|i| engine(i, "other", "other-model"));
        spec.engines = loaded.chain(others).collect();
        spec.accounts = accounts();
        spec.routing = routing;
        spec.time_scale = time_scale;
        spec.delay_between = self.delay_between;
        spec
    }

    /// Returns the same deployment without delays.
    #[must_use]
    pub const fn without_delays(mut self) -> Self {
        self.delay_between = time::Duration::ZERO;
        self.caller_delay = time::Duration::ZERO;
        self
    }

    /// Returns the nominal capacity in requests per second for prompts of this mean length.
    pub fn capacity(&self, mean_tokens: f64) -> f64 {
        self.engines as f64 * f64::from(PREFILL_TPS) / mean_tokens
    }
}

/// Returns the client accounts: two large and eight small, of equal weight in the configuration.
pub fn accounts() -> Vec<(String, u32)> {
    let large = (0..2).map(|i| (format!("large-{i}"), 1));
    let small = (0..8).map(|i| (format!("small-{i}"), 1));
    large.chain(small).collect()
}
