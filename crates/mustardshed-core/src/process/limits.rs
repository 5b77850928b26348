//! Capacity limits of backend servers, as configured by the operators.

use mustardshed_config::text;

use crate::ids;

/// Prefill speed in tokens per second that stands in for plain services, which do no prefill.
const PLAIN_PREFILL_TOKENS_PER_SECOND: f64 = 1.0e6;

/// Capacity limits of one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// KV memory in tokens; zero means no limit.
    pub memory_tokens: ids::Tokens,
    /// Most concurrent requests when warm.
    pub max_running: u32,
    /// Most concurrent requests when cold.
    pub cold_limit: u32,
    /// Requests that a cold server must finish before it counts as warm.
    pub warm_after: u32,
    /// Prefill speed assumed until one is measured, in tokens per second.
    pub prefill_tokens_per_second: f64,
}

/// Returns the limits of an engine kind or plain service; `None` if the text does not name it.
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
