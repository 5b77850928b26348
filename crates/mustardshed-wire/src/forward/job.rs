//! A request in flight as it crosses a link.

use std::time;

use mustardshed_core::{forward::load_tracker, ids};

/// Fields of a [`load_tracker::Job`].
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
#[expect(missing_docs, reason = "the core documents the fields")]
pub struct Job {
    #[serde(rename = "h")]
    pub home: ids::BackendServerId,
    /// Names and held tokens.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub helpers: Vec<(ids::BackendServerId, ids::Tokens)>,
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
    #[serde(rename = "b")]
    pub objective_ms: f32,
    #[serde(rename = "e")]
    pub patience_ms: f32,
    /// Time since the request came, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    #[serde(rename = "w")]
    pub is_writing: bool,
}

impl Job {
    /// Returns a job as it is told at `now`.
    #[must_use]
    pub fn told(job: &load_tracker::Job, now: ids::Timestamp) -> Self {
        let helpers = job.helpers.iter();
        let helpers = helpers.map(|helper| (helper.server.clone(), helper.held_tokens));
        let age = now.saturating_sub(job.arrived_at).as_millis();
        Self {
            home: job.primary.clone(),
            helpers: helpers.collect(),
            part_ms: single(job.shard_ms),
            prompt_tokens: job.prompt_tokens,
            answer_tokens: job.output_tokens,
            gap_ms: single(job.gap_objective_ms),
            value: single(job.weight),
            objective_ms: single(job.objective_ms),
            patience_ms: single(job.timeout_ms),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            is_writing: job.is_decoding,
        }
    }

    /// Returns a job that was told at `now`.
    #[must_use]
    pub fn heard(self, now: ids::Timestamp) -> load_tracker::Job {
        let helpers = self.helpers.into_iter();
        let helpers = helpers.map(|(server, held_tokens)| load_tracker::Helper {
            server,
            held_tokens,
        });
        load_tracker::Job {
            primary: self.home,
            helpers: helpers.collect(),
            shard_ms: finite(self.part_ms),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.answer_tokens,
            gap_objective_ms: finite(self.gap_ms),
            weight: finite(self.value),
            objective_ms: finite(self.objective_ms),
            timeout_ms: finite(self.patience_ms),
            arrived_at: now.saturating_sub(time::Duration::from_millis(self.age_ms)),
            is_decoding: self.is_writing,
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
