//! The load report of a plain service, in the format of an engine's.

use std::collections;

/// Whether a plain service is cold or warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// It is slow and crashes beyond its cold limit.
    Cold,
    /// It runs at full speed and takes its full load.
    Warm,
}

/// A running call.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct HeldCall {
    /// Identifier from `X-Request-Id`.
    pub id: String,
    /// KV memory in tokens; always zero.
    pub tokens: u64,
    /// Whether it is a reservation; never.
    pub reservation: bool,
}

/// Load at one time.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct LoadReport {
    /// Number of the warm period.
    pub epoch: u64,
    /// Whether the service is cold or warm.
    pub warmth: Warmth,
    /// Whether the service takes no new calls.
    pub leaving: bool,
    /// Age of this report in milliseconds.
    pub age_ms: u64,
    /// KV memory in tokens; always zero.
    pub memory_tokens: u64,
    /// KV memory held in tokens; always zero.
    pub used_tokens: u64,
    /// Prompt tokens that wait; always zero.
    pub queued_prefill_tokens: u64,
    /// Running calls.
    pub running: usize,
    /// Models; always empty.
    pub models: collections::BTreeMap<String, String>,
    /// Running calls.
    pub held: Vec<HeldCall>,
}
