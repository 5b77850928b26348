//! Kinds of model engines.

use super::Fencing;
use crate::reader::{read, section};

/// Greatest value of `memory_tokens`.
const MAX_MEMORY_TOKENS: u64 = 1_000_000_000;
/// Greatest value of `max_running` and of `cold_limit`.
pub(super) const MAX_RUNNING: u32 = 100_000;
/// Greatest value of `warm_after`.
const MAX_WARM_AFTER: u32 = 1_000_000;
/// Greatest value of `prefill_tokens_per_second`.
const MAX_PREFILL_TOKENS_PER_SECOND: u32 = 1_000_000_000;

/// A kind of model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineKind {
    /// Name.
    pub name: String,
    /// Capacity of the KV cache of one engine, in tokens.
    pub memory_tokens: u64,
    /// Most requests that one engine runs at once.
    pub max_running: u32,
    /// Most requests that a cold engine runs at once.
    pub cold_limit: u32,
    /// Requests that a cold engine must finish before it counts as warm.
    pub warm_after: u32,
    /// Prefill speed assumed until one has been measured, in tokens per second.
    pub prefill_tokens_per_second: u32,
    /// Whether engines check fencing numbers.
    pub fencing: Fencing,
}

impl EngineKind {
    /// Reads one table `[[engine_kind]]`; invalid values are reported and replaced by defaults.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::name);
        let memory_tokens =
            section.required("memory_tokens", read::u64_within(1, MAX_MEMORY_TOKENS));
        let max_running = section.required("max_running", read::u32_within(1, MAX_RUNNING));
        let cold_limit = section.required("cold_limit", read::u32_within(1, MAX_RUNNING));
        let warm_after = section.required("warm_after", read::u32_within(0, MAX_WARM_AFTER));
        let prefill_tokens_per_second = section.required(
            "prefill_tokens_per_second",
            read::u32_within(1, MAX_PREFILL_TOKENS_PER_SECOND),
        );
        let fencing = section.required("fencing", Fencing::read);
        section.limit("cold_limit", cold_limit, "max_running", max_running);
        Self {
            name: name.unwrap_or_default(),
            memory_tokens: memory_tokens.unwrap_or_default(),
            max_running: max_running.unwrap_or_default(),
            cold_limit: cold_limit.unwrap_or_default(),
            warm_after: warm_after.unwrap_or_default(),
            prefill_tokens_per_second: prefill_tokens_per_second.unwrap_or_default(),
            fencing: fencing.unwrap_or_default(),
        }
    }
}
