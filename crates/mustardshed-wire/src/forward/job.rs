//! A request in flight, as sent on a link between entries.

use std::time;

use mustardshed_core::{forward::load_tracker, ids};

use crate::forward::Protection;

/// Fields of a [`load_tracker::Job`].
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
#[expect(missing_docs, reason = "the core documents the fields")]
pub struct Job {
    #[serde(rename = "h")]
    pub primary: ids::BackendServerId,
    /// Names of helpers and the tokens that each holds.
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
    /// Time since the request arrived, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    #[serde(rename = "w")]
    pub is_decoding: bool,
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<ids::ClientAccountId>,
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub protection: Option<Protection>,
}

impl Job {
    /// Converts a job that is sent at `now`.
    #[must_use]
    pub fn new(job: &load_tracker::Job, now: ids::Timestamp) -> Self {
        let helpers = job.helpers.iter();
        let helpers = helpers.map(|helper| (helper.server.clone(), helper.held_tokens));
        let protection = job.protection.as_ref();
        Self {
            primary: job.primary.clone(),
            helpers: helpers.collect(),
            shard_ms: to_f32(job.shard_ms),
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.output_tokens,
            gap_ms: to_f32(job.gap_objective_ms),
            weight: to_f32(job.weight),
            objective_ms: to_f32(job.objective_ms),
            timeout_ms: to_f32(job.timeout_ms),
            age_ms: to_millis(now.saturating_sub(job.arrived_at)),
            is_decoding: job.is_decoding,
            account: job.account.clone(),
            protection: protection.map(|protection| Protection::new(protection, now)),
        }
    }

    /// Adds what the servers of a protected stream were sent after it; `spare_left` is what they may
    /// still be sent.
    #[must_use]
    pub fn with_later_work(
        mut self,
        later: Vec<load_tracker::LaterWork>,
        spare_left: time::Duration,
    ) -> Self {
        if let Some(protection) = &mut self.protection {
            protection.add_later_work(later, spare_left);
        }
        self
    }

    /// Returns what the servers of a protected stream were sent after it.
    pub fn later_work(&self) -> impl Iterator<Item = load_tracker::LaterWork> {
        let protection = self.protection.iter();
        protection.flat_map(Protection::later_work)
    }

    /// Converts into the core's job; `sent_at` is the time at which it was sent.
    #[must_use]
    pub fn into_job(self, sent_at: ids::Timestamp) -> load_tracker::Job {
        let age = time::Duration::from_millis(self.age_ms);
        let helpers = self.helpers.into_iter();
        let helpers = helpers.map(|(server, held_tokens)| load_tracker::Helper {
            server,
            held_tokens,
        });
        load_tracker::Job {
            primary: self.primary,
            helpers: helpers.collect(),
            shard_ms: non_negative(self.shard_ms),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            gap_objective_ms: non_negative(self.gap_ms),
            weight: non_negative(self.weight),
            objective_ms: non_negative(self.objective_ms),
            timeout_ms: non_negative(self.timeout_ms),
            arrived_at: sent_at.saturating_sub(age),
            is_decoding: self.is_decoding,
            account: self.account,
            protection: self.protection.map(|it| it.into_protection(age, sent_at)),
        }
    }
}

pub(super) fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "estimates need no more digits than an f32 has"
)]
pub(super) const fn to_f32(value: f64) -> f32 {
    value as f32
}

/// Returns a peer's value, or zero if it is negative or not finite.
pub(super) fn non_negative(value: f32) -> f64 {
    if value.is_finite() && value >= 0.0 {
        f64::from(value)
    } else {
        0.0
    }
}
