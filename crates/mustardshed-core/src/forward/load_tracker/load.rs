//! The load of one server.

use crate::{forward::load_tracker, ids};

/// A prompt, or a part of one, that a server has to read.
#[derive(Clone, Copy, Debug)]
pub struct PendingPrefill<'a> {
    /// Its request.
    pub job: &'a load_tracker::Job,
    /// Name of the request.
    pub key: &'a load_tracker::JobKey,
    /// Time after which it is read, in milliseconds.
    pub done_ms: f64,
}

/// Load of a server as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct Load<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Requests that it answers or will answer.
    pub primary_jobs: Vec<&'a load_tracker::Job>,
    /// Requests whose prompts it helps to read.
    pub helper_jobs: usize,
    /// Requests that are writing there.
    pub decoding: Vec<&'a load_tracker::Job>,
    /// What it has to read, in its order.
    pub prefills: Vec<PendingPrefill<'a>>,
    /// Tokens in memory, with those that its requests are still to write.
    pub memory_tokens: ids::Tokens,
    /// Tokens that its writers have as context.
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

    /// Returns the time that reading takes which was given to it, in milliseconds.
    #[must_use]
    pub fn backlog_ms(&self) -> f64 {
        self.prefills.last().map_or(0.0, |reading| reading.done_ms)
    }

    /// Returns the number of requests that it answers whose pauses must be about as short.
    #[must_use]
    pub fn similar_jobs(&self, gap_ms: f64) -> usize {
        /// Ratio up to which two longest pauses count as alike.
        const ALIKE: f64 = 1.5;
        let homes = self.primary_jobs.iter();
        homes
            .filter(|job| {
                job.gap_objective_ms <= gap_ms * ALIKE && gap_ms <= job.gap_objective_ms * ALIKE
            })
            .count()
    }

    /// Adds a request that the server has to do with.
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
        let kept = job.prompt_tokens.saturating_sub(job.held_tokens());
        self.primary_jobs.push(job);
        self.memory_tokens += kept + job.output_tokens;
        if job.is_decoding {
            self.context_tokens += kept;
            self.decoding.push(job);
        }
    }
}
