//! Work queue of one server.
//!
//! An engine prefills the shards of shared prompts before everything else, the newest first;
//! prompts that it prefills alone follow in order of arrival.

use std::{collections, time};

use crate::{
    forward::load_tracker::{self, Health, sent_work},
    ids,
};

/// Window in which requests to a cold server are counted: a second, and the longest usual time from
/// the placement of a request to its sending.
pub const ARRIVAL_WINDOW: time::Duration = time::Duration::from_millis(1_100);

/// Work of one server.
#[derive(Debug, Default)]
pub(super) struct ServerQueue {
    /// All requests that involve this server.
    pub(super) jobs: Vec<load_tracker::JobKey>,
    /// Observed health of the server.
    pub(super) health: Health,
    /// Pending prefills, in the order in which the server runs them.
    prefills: Vec<Prefill>,
    /// Time up to which elapsed time was subtracted from the prefills.
    advanced_to: ids::Timestamp,
    arrivals: collections::VecDeque<ids::Timestamp>,
    /// Work that it was sent.
    pub(super) sent_work: sent_work::SentWork,
    /// Requests with a protection.
    pub(super) protected: Vec<load_tracker::JobKey>,
}

/// A pending prefill of a prompt or of a shard.
#[derive(Clone, Debug)]
struct Prefill {
    key: load_tracker::JobKey,
    remaining_ms: f64,
}

impl ServerQueue {
    /// Adds a request that involves this server.
    pub(super) fn start(
        &mut self,
        server: &str,
        key: &load_tracker::JobKey,
        job: &load_tracker::Job,
        now: ids::Timestamp,
    ) {
        self.jobs.push(key.clone());
        self.sent_work.start(key, job.work(server), job.arrived_at);
        if let Some(protection) = &job.protection {
            self.sent_work.protect(protection);
            self.protected.push(key.clone());
        }
        if job.is_decoding {
            return;
        }
        self.advance(now);
        let prefill = Prefill {
            key: key.clone(),
            remaining_ms: job.shard_ms * self.health.slowdown(),
        };
        if job.helpers.is_empty() {
            self.prefills.push(prefill);
        } else {
            self.prefills.insert(0, prefill);
        }
    }

    /// Records that a prompt is prefilled.
    pub(super) fn finish_prefill(&mut self, key: &load_tracker::JobKey, now: ids::Timestamp) {
        self.advance(now);
        self.prefills.retain(|prefill| prefill.key != *key);
    }

    /// Records the end of a request.
    pub(super) fn end(&mut self, key: &load_tracker::JobKey, now: ids::Timestamp) {
        self.finish_prefill(key, now);
        self.jobs.retain(|other| other != key);
        self.protected.retain(|other| other != key);
        self.sent_work.end(key, now);
    }

    /// Counts a request that is sent to this server.
    pub(super) fn record_arrival(&mut self, now: ids::Timestamp) {
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| *at + ARRIVAL_WINDOW < now)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the number of requests sent to this server within the last second.
    pub(super) fn recent_arrivals(&self, now: ids::Timestamp) -> usize {
        let since = now.saturating_sub(ARRIVAL_WINDOW);
        self.arrivals.iter().filter(|at| **at >= since).count()
    }

    /// Returns the pending prefills, each with the time until it is done, in milliseconds.
    pub(super) fn pending_prefills(
        &self,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = (&load_tracker::JobKey, f64)> {
        let mut spent = self.elapsed_ms(now);
        let mut done = 0.0;
        self.prefills.iter().map(move |prefill| {
            let taken = spent.min(prefill.remaining_ms);
            spent -= taken;
            done += prefill.remaining_ms - taken;
            (&prefill.key, done)
        })
    }

    fn advance(&mut self, now: ids::Timestamp) {
        let mut spent = self.elapsed_ms(now);
        for prefill in &mut self.prefills {
            let taken = spent.min(prefill.remaining_ms);
            spent -= taken;
            prefill.remaining_ms -= taken;
        }
        self.advanced_to = self.advanced_to.max(now);
    }

    fn elapsed_ms(&self, now: ids::Timestamp) -> f64 {
        now.saturating_sub(self.advanced_to).as_secs_f64() * 1_000.0
    }
}
