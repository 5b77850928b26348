//! Settings of an engine.

use std::{collections, net, time};

use crate::delay;

/// Whether an engine checks the fencing numbers of orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// An order with a number below the greatest seen is refused.
    Checked,
    /// Every order is applied.
    Ignored,
}

/// Settings of an engine; see the speed model in `docs/STANDINS.md`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: net::SocketAddr,
    /// Name of the engine.
    pub name: String,
    /// Data centre of the engine.
    pub data_centre: String,
    /// KV memory in tokens.
    pub memory_tokens: u64,
    /// Prefill speed in tokens per second.
    pub prefill_tps: f64,
    /// Decode steps per second.
    pub decode_tps: f64,
    /// Largest number of requests at once.
    pub max_running: usize,
    /// Requests at once beyond which a cold engine crashes.
    pub cold_limit: usize,
    /// Finished requests after which a cold engine is warm.
    pub warm_after: u64,
    /// Prefill tokens in a step of the batch.
    pub chunk_tokens: u64,
    /// Whether fencing numbers are checked.
    pub fencing: Fencing,
    /// Models that are loaded at the start, with their versions.
    pub models: collections::BTreeMap<String, String>,
    /// Whether the engine starts cold.
    pub start_cold: bool,
    /// Seconds of the engine's clock per second of the wall clock.
    pub time_scale: f64,
    /// Delays to entries, on the engine's clock.
    pub delays: delay::Delays,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            name: String::from("engine"),
            data_centre: String::from("dc1"),
            memory_tokens: 400_000,
            prefill_tps: 20_000.0,
            decode_tps: 50.0,
            max_running: 256,
            cold_limit: 2,
            warm_after: 4,
            chunk_tokens: 2_048,
            fencing: Fencing::Checked,
            models: collections::BTreeMap::from([(String::from("draft"), String::from("1"))]),
            start_cold: false,
            time_scale: 1.0,
            delays: delay::Delays::default(),
        }
    }
}

impl Settings {
    /// Returns the length of a step that prefills `prefill_tokens`, at full speed.
    pub fn step_length(&self, prefill_tokens: u64) -> time::Duration {
        let decode = 1.0 / self.decode_tps;
        let prefill = prefill_tokens as f64 / self.prefill_tps;
        time::Duration::from_secs_f64(decode.max(prefill))
    }
}
