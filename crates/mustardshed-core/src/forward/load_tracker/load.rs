//! Load of one server.

use std::time;

use crate::{forward::load_tracker, ids};

/// A pending prefill of a prompt or of a shard.
#[derive(Clone, Copy, Debug)]
pub struct PendingPrefill<'a> {
    /// Request that it belongs to.
    pub job: &'a load_tracker::Job,
    /// Key of the request.
    pub key: &'a load_tracker::JobKey,
    /// Time until it is done, in milliseconds.
    pub done_ms: f64,
}

/// A stream that was accepted during a planned stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProtectedStream {
    /// Time by which it must be complete.
    pub ends_at: ids::Timestamp,
    /// Engine time that the server could spend on later requests when it was sent.
    pub spare: time::Duration,
    /// Work that the server was sent after it.
    pub later: load_tracker::Work,
}

/// Known load of a server.
#[derive(Clone, Debug, Default)]
pub struct Load<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Requests that have it as their primary.
    pub primary_jobs: Vec<&'a load_tracker::Job>,
    /// Number of requests whose prompts it helps to prefill.
    pub helper_jobs: usize,
    /// Requests that decode on it.
    pub decoding: Vec<&'a load_tracker::Job>,
    /// Pending prefills, in the order in which the server runs them.
    pub prefills: Vec<PendingPrefill<'a>>,
    /// Streams that must end before their entries do.
    pub protected: Vec<ProtectedStream>,
    /// KV memory in tokens, including what its requests are yet to decode.
    pub memory_tokens: ids::Tokens,
    /// Context of its decoding requests, in tokens.
    pub context_tokens: ids::Tokens,
}

impl<'a> Load<'a> {
    /// Makes the load of a server with nothing to do.
    pub(super) fn new(server: &'a str) -> Self {
        Self {
            server,
            ..Self::default()
        }
    }

    /// Returns the time until all pending prefills are done, in milliseconds.
    #[must_use]
    pub fn backlog_ms(&self) -> f64 {
        self.prefills.last().map_or(0.0, |reading| reading.done_ms)
    }

    /// Returns the number of its primary requests with a similar gap objective.
    #[must_use]
    pub fn similar_jobs(&self, gap_ms: f64) -> usize {
        /// Largest ratio of two similar gap objectives.
        const MAX: f64 = 1.5;
        let primary = self.primary_jobs.iter();
        primary
            .filter(|j| j.gap_objective_ms <= gap_ms * MAX && gap_ms <= j.gap_objective_ms * MAX)
            .count()
    }

    /// Adds a request that involves the server.
    pub(super) fn add(&mut self, job: &'a load_tracker::Job) {
        if job.primary != self.server {
            let helpers = job
                .helpers
                .iter()
                .filter(|helper| helper.server == self.server);
            self.memory_tokens += helpers
                .map(|helper| helper.held_tokens)
                .sum::<ids::Tokens>();
            if !job.is_decoding {
                self.helper_jobs += 1;
            }
            return;
        }
        let primary_tokens = job.prompt_tokens.saturating_sub(job.held_tokens());
        self.primary_jobs.push(job);
        self.memory_tokens += primary_tokens + job.output_tokens;
        if job.is_decoding {
            self.context_tokens += primary_tokens;
            self.decoding.push(job);
        }
    }
}
