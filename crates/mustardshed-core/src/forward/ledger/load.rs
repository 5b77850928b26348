//! The load of one server.

use std::time;

use crate::{forward::ledger, ids};

/// Load of a server as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct Load<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Requests that it answers or will answer.
    pub homes: usize,
    /// Requests whose prompts it helps to read.
    pub parts: usize,
    /// Requests whose prompts are not read yet.
    pub readers: Vec<&'a ledger::Job>,
    /// Requests that are writing there.
    pub writers: Vec<&'a ledger::Job>,
    /// Tokens in memory, with those that its requests are still to write.
    pub memory_tokens: ids::Tokens,
    /// Tokens that its writers have as context.
    pub context_tokens: ids::Tokens,
    /// Time that reading takes that was given to it.
    pub backlog: time::Duration,
}

impl<'a> Load<'a> {
    /// Returns the number of requests that it answers whose pauses must be about as short.
    #[must_use]
    pub fn homes_within(&self, gap_ms: f64) -> usize {
        /// Ratio up to which two longest pauses count as alike.
        const ALIKE: f64 = 1.5;
        let jobs = self.writers.iter().chain(&self.readers);
        let jobs = jobs.filter(|job| job.home == self.server);
        jobs.filter(|job| job.gap_ms <= gap_ms * ALIKE && gap_ms <= job.gap_ms * ALIKE).count()
    }

    /// Sums up the jobs of a server.
    pub(crate) fn new(
        server: &'a str,
        jobs: impl Iterator<Item = &'a ledger::Job>,
        backlog: time::Duration,
    ) -> Self {
        let mut load = Self {
            server,
            backlog,
            ..Self::default()
        };
        for job in jobs {
            load.add(job);
        }
        load
    }

    fn add(&mut self, job: &'a ledger::Job) {
        let helpers = ids::Tokens::try_from(job.helpers.len()).unwrap_or(ids::Tokens::MAX);
        if job.home != self.server {
            self.memory_tokens += job.held_tokens;
            if !job.is_writing {
                self.parts += 1;
                self.readers.push(job);
            }
            return;
        }
        self.homes += 1;
        let kept = job
            .prompt_tokens
            .saturating_sub(job.held_tokens.saturating_mul(helpers));
        self.memory_tokens += kept + job.answer_tokens;
        if job.is_writing {
            self.context_tokens += kept;
            self.writers.push(job);
        } else {
            self.readers.push(job);
        }
    }
}
