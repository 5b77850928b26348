//! Steps of the batch.

use std::time;

use crate::engine::{progress, scheduler};

/// Factor by which a step takes longer on a cold engine.
const COLD_FACTOR: u32 = 4;

/// One step of the batch.
#[derive(Debug)]
pub(super) struct Step {
    /// When it ends.
    pub(super) ends_at: time::Duration,
    /// Requests that prefill, each with its tokens.
    prefill: Vec<(u64, u64)>,
    /// Requests that decode one token.
    decode: Vec<u64>,
}

impl scheduler::Scheduler {
    /// Begins a step at `at` if no step runs and there is work.
    pub(super) fn begin_step(&mut self, at: time::Duration) {
        if self.step.is_some() || (self.prefill.is_empty() && self.decode.is_empty()) {
            return;
        }
        let prefill = self.plan_prefill();
        let tokens = prefill.iter().map(|(_, tokens)| tokens).sum();
        self.step = Some(Step {
            ends_at: at + self.step_length(tokens),
            prefill,
            decode: self.decode.iter().copied().collect(),
        });
    }

    /// Applies the results of a finished step.
    pub(super) fn finish_step(&mut self, step: Step) {
        for number in step.decode {
            self.decode_token(step.ends_at, number);
        }
        for (number, tokens) in step.prefill {
            self.apply_prefill(number, tokens);
        }
    }

    /// Distributes the token budget of a step by priority, then by arrival.
    fn plan_prefill(&self) -> Vec<(u64, u64)> {
        let mut budget = self.settings.chunk_tokens;
        let mut plan = Vec::new();
        for (_, number) in &self.prefill {
            let left = self.jobs.get(number).map_or(0, |job| job.prefill_left);
            let tokens = left.min(budget);
            if tokens == 0 {
                break;
            }
            plan.push((*number, tokens));
            budget -= tokens;
        }
        plan
    }

    fn step_length(&self, prefill_tokens: u64) -> time::Duration {
        let full_speed = self.settings.step_length(prefill_tokens);
        let factor = match self.warmth {
            scheduler::Warmth::Cold => COLD_FACTOR,
            scheduler::Warmth::Warm => 1,
        };
        let slowed = full_speed.mul_f64(1.0 + f64::from(self.faults.slow_percent) / 100.0);
        slowed * factor
    }

    fn apply_prefill(&mut self, number: u64, tokens: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if job.ended() {
            return;
        }
        job.prefill_left = job.prefill_left.saturating_sub(tokens);
        if job.prefill_left > 0 {
            return;
        }
        let prefixes = std::sync::Arc::clone(&job.prefixes);
        self.cache.store(&prefixes, self.memory.free());
        self.queue(number);
    }

    fn decode_token(&mut self, now: time::Duration, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.ended() {
            return;
        }
        job.progress.send_modify(|p| p.produced += 1);
        if job.progress.borrow().produced >= job.max_tokens {
            self.end(now, number, progress::End::Finished);
        }
    }
}
