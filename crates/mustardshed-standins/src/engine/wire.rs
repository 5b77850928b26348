//! Request and response bodies of the engine's HTTP API.

use std::{collections, sync};

use serde::{Deserialize, Serialize};

use crate::engine::{prompt, records, refusal, scheduler};

/// Body of a completion.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionRequest {
    pub(super) model: String,
    pub(super) prompt: prompt::Prompt,
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: u64,
    #[serde(default)]
    pub(super) offset: u64,
    #[serde(default)]
    pub(super) priority: u32,
    #[serde(default)]
    pub(super) gang: Vec<String>,
}

const fn default_max_tokens() -> u64 {
    16
}

/// Body of a reservation.
#[derive(Debug, Deserialize)]
pub(super) struct ReservationRequest {
    pub(super) tokens: u64,
}

/// Body of an export of a request's KV cache.
#[derive(Debug, Deserialize)]
pub(super) struct ExportRequest {
    pub(super) id: String,
}

/// KV cache of a request: an opaque handle with its tokens.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct KvHandle {
    handle: String,
    tokens: u64,
}

impl From<&[u64]> for KvHandle {
    fn from(prefixes: &[u64]) -> Self {
        let bytes: Vec<u8> = prefixes.iter().flat_map(|p| p.to_le_bytes()).collect();
        Self {
            handle: hex::encode(bytes),
            tokens: prefixes.len() as u64 * prompt::BLOCK_TOKENS,
        }
    }
}

impl TryFrom<KvHandle> for Vec<u64> {
    type Error = refusal::Refusal;

    fn try_from(kv: KvHandle) -> Result<Self, refusal::Refusal> {
        let bytes = hex::decode(kv.handle).map_err(|_| refusal::Refusal::BadRequest)?;
        let (prefixes, rest) = bytes.as_chunks();
        if !rest.is_empty() {
            return Err(refusal::Refusal::BadRequest);
        }
        Ok(prefixes.iter().map(|p| u64::from_le_bytes(*p)).collect())
    }
}

/// Load report with its age.
#[derive(Debug, Serialize)]
pub(super) struct LoadReport {
    pub(super) age_ms: u64,
    #[serde(flatten)]
    pub(super) load: sync::Arc<scheduler::LoadSnapshot>,
}

/// Records of an engine.
#[derive(Debug, Serialize)]
pub(super) struct RecordsReport {
    requests: collections::VecDeque<records::RequestRecord>,
    fell_over: u64,
    max_running_cold: usize,
    used_tokens: u64,
    reserved_tokens: u64,
    orders: collections::VecDeque<records::OrderRecord>,
    adapters: collections::BTreeSet<String>,
    role: Option<String>,
}

impl From<&scheduler::Scheduler> for RecordsReport {
    fn from(engine: &scheduler::Scheduler) -> Self {
        let records = engine.records();
        Self {
            requests: records.requests().clone(),
            fell_over: records.fell_over,
            max_running_cold: records.max_running_cold,
            used_tokens: engine.memory().used(),
            reserved_tokens: engine.memory().reserved(),
            orders: records.orders().clone(),
            adapters: engine.adapters().clone(),
            role: engine.role().map(str::to_owned),
        }
    }
}

impl RecordsReport {
    /// Converts the times of the engine's clock with `time_of`.
    pub(super) fn with_times(mut self, time_of: impl Fn(u64) -> u64) -> Self {
        for record in &mut self.requests {
            record.at_ms = time_of(record.at_ms);
        }
        for record in &mut self.orders {
            record.at_ms = time_of(record.at_ms);
        }
        self
    }
}

/// Body of a refusal.
#[derive(Debug, Serialize)]
pub(super) struct RefusalReport {
    error: refusal::Refusal,
    message: String,
}

impl From<refusal::Refusal> for RefusalReport {
    fn from(refusal: refusal::Refusal) -> Self {
        Self {
            error: refusal,
            message: refusal.to_string(),
        }
    }
}
