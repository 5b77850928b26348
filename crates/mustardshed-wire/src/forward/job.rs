//! A request in flight as it crosses a link.

use mustardshed_core::{forward::ledger, ids};

/// Fields of a [`ledger::Job`].
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[expect(missing_docs, reason = "the core documents the fields")]
pub struct Job {
    #[serde(rename = "h")]
    pub home: ids::BackendServerId,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub helpers: Vec<ids::BackendServerId>,
    #[serde(rename = "k", default, skip_serializing_if = "is_zero")]
    pub held_tokens: ids::Tokens,
    #[serde(rename = "m")]
    pub part_ms: f32,
    #[serde(rename = "i")]
    pub prompt_tokens: ids::Tokens,
    #[serde(rename = "o")]
    pub answer_tokens: ids::Tokens,
    #[serde(rename = "g")]
    pub gap_ms: f32,
    #[serde(rename = "v")]
    pub value: f32,
    #[serde(rename = "w")]
    pub is_writing: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(tokens: &ids::Tokens) -> bool {
    *tokens == 0
}

impl From<&ledger::Job> for Job {
    fn from(job: &ledger::Job) -> Self {
        Self {
            home: job.home.clone(),
            helpers: job.helpers.clone(),
            held_tokens: job.held_tokens,
            part_ms: single(job.part_ms),
            prompt_tokens: job.prompt_tokens,
            answer_tokens: job.answer_tokens,
            gap_ms: single(job.gap_ms),
            value: single(job.value),
            is_writing: job.is_writing,
        }
    }
}

impl From<Job> for ledger::Job {
    fn from(job: Job) -> Self {
        Self {
            home: job.home,
            helpers: job.helpers,
            held_tokens: job.held_tokens,
            part_ms: finite(job.part_ms),
            prompt_tokens: job.prompt_tokens,
            answer_tokens: job.answer_tokens,
            gap_ms: finite(job.gap_ms),
            value: finite(job.value),
            is_writing: job.is_writing,
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
