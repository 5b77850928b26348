//! A request in flight, as sent on a link between entries.

use std::time;

use mustardshed_core::{forward::load_tracker, ids};

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

/// Fields of a [`load_tracker::Protection`].
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Protection {
    /// Time until the stream must be complete, in milliseconds.
    #[serde(rename = "e")]
    pub ends_in_ms: u64,
    /// Engine time that its server may spend on later requests, in milliseconds.
    #[serde(rename = "s")]
    pub spare_ms: u64,
}

impl Protection {
    fn new(protection: &load_tracker::Protection, now: ids::Timestamp) -> Self {
        Self {
            ends_in_ms: to_millis(protection.ends_at.saturating_sub(now)),
            spare_ms: to_millis(protection.spare),
        }
    }

    fn into_protection(self, sent_at: ids::Timestamp) -> load_tracker::Protection {
        load_tracker::Protection {
            ends_at: sent_at.saturating_add(time::Duration::from_millis(self.ends_in_ms)),
            spare: time::Duration::from_millis(self.spare_ms),
        }
    }
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

    /// Converts into the core's job; `sent_at` is the time at which it was sent.
    #[must_use]
    pub fn into_job(self, sent_at: ids::Timestamp) -> load_tracker::Job {
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
            arrived_at: sent_at.saturating_sub(time::Duration::from_millis(self.age_ms)),
            is_decoding: self.is_decoding,
            account: self.account,
            protection: self.protection.map(|it| it.into_protection(sent_at)),
        }
    }
}

fn to_millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "estimates need no more digits than an f32 has"
)]
const fn to_f32(value: f64) -> f32 {
    value as f32
}

/// Returns a peer's value, or zero if it is negative or not finite.
fn non_negative(value: f32) -> f64 {
    if value.is_finite() && value >= 0.0 {
        f64::from(value)
    } else {
        0.0
    }
}
