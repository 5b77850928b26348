//! A request in flight as it crosses a link.

use std::time;

use mustardshed_core::{forward::ledger, ids};

/// Fields of a [`ledger::Job`].
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
#[expect(missing_docs, reason = "the core documents the fields")]
pub struct Job {
    #[serde(rename = "h")]
    pub primary: ids::BackendServerId,
    /// Names and held tokens.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub helpers: Vec<(ids::BackendServerId, ids::Tokens)>,
    #[serde(rename = "m")]
    pub shard_ms: f32,
    #[serde(rename = "i")]
    pub prompt_tokens: ids::Tokens,
    #[serde(rename = "o")]
    pub output_tokens: ids::Tokens,
    #[serde(rename = "g")]
    pub gap_ms: f32,
    #[serde(rename = "v")]
    pub weight: f32,
    #[serde(rename = "b")]
    pub objective_ms: f32,
    #[serde(rename = "e")]
    pub timeout_ms: f32,
    /// Time since the request came, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    #[serde(rename = "w")]
    pub is_decoding: bool,
}

impl Job {
    /// Returns a job as it is told at `now`.
    #[must_use]
    pub fn new(job: &ledger::Job, now: ids::Timestamp) -> Self {
        let helpers = job.helpers.iter();
        let helpers = helpers.map(|helper| (helper.server.clone(), helper.held_tokens));
        let age = now.saturating_sub(job.arrived_at).as_millis();
        Self {
            primary: job.home.clone(),
            helpers: helpers.collect(),
            shard_ms: single(job.part_ms),
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.answer_tokens,
            gap_ms: single(job.gap_ms),
            weight: single(job.value),
            objective_ms: single(job.objective_ms),
            timeout_ms: single(job.patience_ms),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            is_decoding: job.is_writing,
        }
    }

    /// Returns a job that was told at `now`.
    #[must_use]
    pub fn into_job(self, now: ids::Timestamp) -> ledger::Job {
        let helpers = self.helpers.into_iter();
        let helpers = helpers.map(|(server, held_tokens)| ledger::Helper {
            server,
            held_tokens,
        });
        ledger::Job {
            home: self.primary,
            helpers: helpers.collect(),
            part_ms: finite(self.shard_ms),
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.output_tokens,
            gap_ms: finite(self.gap_ms),
            value: finite(self.weight),
            objective_ms: finite(self.objective_ms),
            patience_ms: finite(self.timeout_ms),
            arrived_at: now.saturating_sub(time::Duration::from_millis(self.age_ms)),
            is_writing: self.is_decoding,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "estimates need no more digits than a single has"
)]
const fn single(value: f64) -> f32 {
    value as f32
}

/// Returns a peer's figure, or zero for what cannot be one.
fn finite(value: f32) -> f64 {
    if value.is_finite() && value >= 0.0 {
        f64::from(value)
    } else {
        0.0
    }
}
