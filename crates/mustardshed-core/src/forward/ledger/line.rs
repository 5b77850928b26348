//! What one server has to do, and when.
//!
//! An engine on which somebody writes works in passes: what has come when a pass begins is read in
//! it, and all events of the pass come at its end. Without writers it reads on and on, the parts of
//! shared prompts ahead of everything else, the newest first; prompts that it reads alone follow in
//! their order.

use std::{collections, time};

use crate::{
    forward::ledger::{self, Health},
    ids,
};

/// Window in which arrivals at a cold server are counted.
const ARRIVAL_WINDOW: time::Duration = time::Duration::from_millis(1_100);
/// Passes after whose last known end nobody knows any more when the next one ends.
const KNOWN_PASSES: f64 = 4.0;
/// Longest time that a pass takes by what is read in it, in milliseconds; longer reads go on in the
/// next one.
const LONGEST_PASS_MS: f64 = 4_000.0;

/// Work of one server.
#[derive(Debug, Default)]
pub(super) struct Line {
    /// All requests that it has to do with.
    pub(super) jobs: Vec<ledger::JobKey>,
    /// What was seen of its health.
    pub(super) health: Health,
    /// What it has to read, in its order.
    reads: Vec<Read>,
    /// Requests that are writing there.
    writing: Vec<ledger::JobKey>,
    /// Time up to which reading was taken off.
    read_until: ids::Timestamp,
    /// Last known end of a pass.
    passed_at: ids::Timestamp,
    arrivals: collections::VecDeque<ids::Timestamp>,
}

/// A prompt, or a part of one, that is to be read.
#[derive(Clone, Debug)]
struct Read {
    key: ledger::JobKey,
    left_ms: f64,
    since: ids::Timestamp,
}

/// When a server is through with what it has to read.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast<'a> {
    /// What is to be read, in its order.
    pub(super) reads: Vec<Expected<'a>>,
    /// Time left of the present pass, in milliseconds.
    pub(super) left_ms: f64,
    /// Whole time of the present pass, in milliseconds.
    pub(super) present_ms: f64,
    /// Time that reading adds to the next pass, in milliseconds.
    pub(super) waiting_ms: f64,
}

/// A read that is expected to end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expected<'a> {
    pub(super) key: &'a ledger::JobKey,
    /// Time after which it is read, in milliseconds.
    pub(super) done_ms: f64,
    /// Whether what is added now delays it.
    pub(super) is_waiting: bool,
    left_ms: f64,
}

impl Line {
    /// Takes a request to this server, or one that it helps with.
    pub(super) fn start(&mut self, key: &ledger::JobKey, job: &ledger::Job, now: ids::Timestamp) {
        self.advance(now);
        self.jobs.push(key.clone());
        if job.is_writing {
            return;
        }
        let read = Read {
            key: key.clone(),
            left_ms: job.part_ms * self.health.pace(),
            since: now,
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

    /// Takes that a request writes here.
    pub(super) fn writes(&mut self, key: &ledger::JobKey, now: ids::Timestamp) {
        self.advance(now);
        if !self.writing.contains(key) {
            self.writing.push(key.clone());
        }
    }

    /// Takes that a pass has ended: somebody's event came.
    pub(super) const fn passed(&mut self, now: ids::Timestamp) {
        self.passed_at = now;
    }

    /// Takes the end of a request.
    pub(super) fn end(&mut self, key: &ledger::JobKey, now: ids::Timestamp) {
        self.read(key, now);
        self.jobs.retain(|other| other != key);
        self.writing.retain(|other| other != key);
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

    /// Returns when it is through with what it has to read, where a pass without reading takes
    /// `pass_ms`.
    pub(super) fn forecast(&self, pass_ms: f64, now: ids::Timestamp) -> Forecast<'_> {
        if self.writing.is_empty() {
            self.forecast_reading(now)
        } else {
            self.forecast_passes(pass_ms.max(1.0), now)
        }
    }

    fn forecast_reading(&self, now: ids::Timestamp) -> Forecast<'_> {
        let mut spent = millis(now.saturating_sub(self.read_until));
        let mut done = 0.0;
        let reads = self.reads.iter().map(|read| {
            let taken = spent.min(read.left_ms);
            spent -= taken;
            done += read.left_ms - taken;
            Expected {
                key: &read.key,
                done_ms: done,
                is_waiting: true,
                left_ms: read.left_ms - taken,
            }
        });
        let reads: Vec<Expected<'_>> = reads.collect();
        Forecast {
            waiting_ms: reads.iter().map(|read| read.left_ms).sum(),
            reads,
            left_ms: 0.0,
            present_ms: 0.0,
        }
    }

    fn forecast_passes(&self, pass_ms: f64, now: ids::Timestamp) -> Forecast<'_> {
        // Times before `now` are negative.
        let since = |read: &Read| -millis(now.saturating_sub(read.since));
        let mut began = -millis(now.saturating_sub(self.passed_at));
        if began < -KNOWN_PASSES * pass_ms && self.reads.is_empty() {
            began = -pass_ms / 2.0;
        }
        let mut read_from = f64::NEG_INFINITY;
        loop {
            let is_in_pass = |read: &&Read| (read_from..began).contains(&since(read));
            let reading: f64 = self
                .reads
                .iter()
                .filter(is_in_pass)
                .map(|r| r.left_ms)
                .sum();
            let present_ms = pass_ms + reading.min(LONGEST_PASS_MS);
            if began + present_ms > 0.0 {
                let left_ms = began + present_ms;
                return self.passes(read_from, began, left_ms, present_ms, pass_ms, since);
            }
            read_from = began;
            began += present_ms;
        }
    }

    fn passes(
        &self,
        read_from: f64,
        began: f64,
        left_ms: f64,
        present_ms: f64,
        pass_ms: f64,
        since: impl Fn(&Read) -> f64,
    ) -> Forecast<'_> {
        let waiting = self.reads.iter().filter(|read| since(read) >= began);
        let waiting_ms: f64 = waiting.map(|read| read.left_ms).sum();
        let reads = self.reads.iter().map(|read| {
            let is_waiting = since(read) >= began;
            let done_ms = if is_waiting {
                left_ms + pass_ms + waiting_ms
            } else if since(read) >= read_from {
                left_ms
            } else {
                // It should be read by now.
                0.0
            };
            Expected {
                key: &read.key,
                done_ms,
                is_waiting,
                left_ms: read.left_ms,
            }
        });
        Forecast {
            reads: reads.collect(),
            left_ms,
            present_ms,
            waiting_ms,
        }
    }

    /// Takes off what was read since the last look. Where somebody writes, nothing is read before
    /// its pass ends.
    fn advance(&mut self, now: ids::Timestamp) {
        if self.writing.is_empty() {
            let mut spent = millis(now.saturating_sub(self.read_until));
            for read in &mut self.reads {
                let taken = spent.min(read.left_ms);
                spent -= taken;
                read.left_ms -= taken;
            }
        }
        self.read_until = self.read_until.max(now);
    }
}

fn millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
