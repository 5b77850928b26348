//! What one server has to do.
//!
//! An engine reads the parts of shared prompts ahead of everything else, the newest first; prompts
//! that it reads alone follow in their order.

use std::{collections, time};

use crate::{
    forward::ledger::{self, Health},
    ids,
};

/// Window in which arrivals at a cold server are counted.
const ARRIVAL_WINDOW: time::Duration = time::Duration::from_millis(1_100);

/// Work of one server.
#[derive(Debug, Default)]
pub(super) struct Line {
    /// All requests that it has to do with.
    pub(super) jobs: Vec<ledger::JobKey>,
    /// What was seen of its health.
    pub(super) health: Health,
    /// What it has to read, in its order.
    reads: Vec<Read>,
    /// Time up to which reading was taken off.
    read_until: ids::Timestamp,
    arrivals: collections::VecDeque<ids::Timestamp>,
}

/// A prompt, or a part of one, that is to be read.
#[derive(Clone, Debug)]
struct Read {
    key: ledger::JobKey,
    left_ms: f64,
}

impl Line {
    /// Takes a request to this server.
    pub(super) fn start(&mut self, key: &ledger::JobKey, job: &ledger::Job, now: ids::Timestamp) {
        self.jobs.push(key.clone());
        if job.is_writing {
            return;
        }
        self.advance(now);
        let read = Read {
            key: key.clone(),
            left_ms: job.part_ms * self.health.pace(),
        };
        if job.helpers.is_empty() {
            self.reads.push(read);
        } else {
            self.reads.insert(0, read);
        }
    }

    /// Takes that a prompt is read.
    pub(super) fn read(&mut self, key: &ledger::JobKey, now: ids::Timestamp) {
        self.advance(now);
        self.reads.retain(|read| read.key != *key);
    }

    /// Takes the end of a request.
    pub(super) fn end(&mut self, key: &ledger::JobKey, now: ids::Timestamp) {
        self.read(key, now);
        self.jobs.retain(|other| other != key);
    }

    /// Counts a request that is sent to this server.
    pub(super) fn arrived(&mut self, now: ids::Timestamp) {
        self.arrivals.push_back(now);
        while self
            .arrivals
            .front()
            .is_some_and(|at| *at + ARRIVAL_WINDOW < now)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the requests that were sent to this server within the last second.
    pub(super) fn arrivals(&self, now: ids::Timestamp) -> usize {
        let since = now.saturating_sub(ARRIVAL_WINDOW);
        self.arrivals.iter().filter(|at| **at >= since).count()
    }

    /// Returns what it has to read, each with the time after which it is read, in milliseconds.
    pub(super) fn reads(
        &self,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = (&ledger::JobKey, f64)> {
        let mut spent = self.elapsed_ms(now);
        let mut done = 0.0;
        self.reads.iter().map(move |read| {
            let taken = spent.min(read.left_ms);
            spent -= taken;
            done += read.left_ms - taken;
            (&read.key, done)
        })
    }

    fn advance(&mut self, now: ids::Timestamp) {
        let mut spent = self.elapsed_ms(now);
        for read in &mut self.reads {
            let taken = spent.min(read.left_ms);
            spent -= taken;
            read.left_ms -= taken;
        }
        self.read_until = self.read_until.max(now);
    }

    fn elapsed_ms(&self, now: ids::Timestamp) -> f64 {
        now.saturating_sub(self.read_until).as_secs_f64() * 1_000.0
    }
}
