//! The load report of a plain service, in the form of an engine's.

use std::collections;

/// Warmth of a plain service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// It is slow and bears its cold limit only.
    Cold,
    /// It bears its full load.
    Warm,
}

/// A call that is worked on.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct HeldCall {
    /// Identifier that the call's sender gave it.
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
    /// Warmth.
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
    /// Calls that are worked on.
    pub running: usize,
    /// Models; always empty.
    pub models: collections::BTreeMap<String, String>,
    /// Calls that are worked on.
    pub held: Vec<HeldCall>,
}
