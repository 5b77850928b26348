//! What one backend server bears, by the operators' text.

use mustardshed_config::text;

use crate::ids;

/// Prefill speed of plain services, which prefill nothing, in tokens a second.
const PLAIN_PREFILL_TOKENS_PER_SECOND: f64 = 1.0e6;

/// What one backend server bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// KV memory in tokens; zero for no limit.
    pub memory_tokens: ids::Tokens,
    /// Requests at once when warm.
    pub max_running: u32,
    /// Requests at once when cold.
    pub cold_limit: u32,
    /// Requests that a cold server must finish before it counts as warm.
    pub warm_after: u32,
    /// Prefill speed assumed until one was seen, in tokens a second.
    pub prefill_tokens_per_second: f64,
}

/// Returns the limits of an engine kind or plain service; nothing if the text names none such.
pub fn of(text: &text::Text, kind: &str) -> Option<Limits> {
    if let Some(kind) = text.engine_kinds.get(kind) {
        return Some(Limits {
            memory_tokens: kind.memory_tokens,
            max_running: kind.max_running,
            cold_limit: kind.cold_limit,
            warm_after: kind.warm_after,
            prefill_tokens_per_second: f64::from(kind.prefill_tokens_per_second),
        });
    }
    match &text.services.get(kind)?.backing {
        text::Backing::Plain {
            max_running,
            cold_limit,
            ..
        } => Some(Limits {
            memory_tokens: 0,
            max_running: *max_running,
            cold_limit: *cold_limit,
            warm_after: 0,
            prefill_tokens_per_second: PLAIN_PREFILL_TOKENS_PER_SECOND,
        }),
        text::Backing::Model { .. } => None,
    }
}
