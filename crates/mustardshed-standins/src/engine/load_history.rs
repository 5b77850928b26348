//! Past load reports, for reports that lag.

use std::{collections, sync, time};

use crate::engine::scheduler;

/// Shortest time between two samples of the load.
const SAMPLE_EVERY: time::Duration = time::Duration::from_millis(20);
/// Largest number of samples kept.
const MAX_SAMPLES: usize = 1_024;

/// Samples of the load, the oldest first.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: collections::VecDeque<(time::Duration, sync::Arc<scheduler::LoadSnapshot>)>,
    changed: bool,
}

impl LoadHistory {
    /// Records that the load may have changed.
    pub(super) const fn note_change(&mut self) {
        self.changed = true;
    }

    /// Returns when the next sample is due.
    pub(super) fn next_sample_at(&self) -> Option<time::Duration> {
        let last = self.samples.back().map(|(at, _)| *at + SAMPLE_EVERY);
        self.changed.then(|| last.unwrap_or_default())
    }

    /// Takes a sample if one is due.
    pub(super) fn sample(&mut self, now: time::Duration, engine: &scheduler::Scheduler) {
        if self.next_sample_at().is_none_or(|at| now < at) {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, sync::Arc::new(engine.load())));
        self.changed = false;
    }

    /// Returns the load as it was at `at`.
    pub(super) fn at(&self, at: time::Duration) -> Option<sync::Arc<scheduler::LoadSnapshot>> {
        let mut newest_first = self.samples.iter().rev();
        let found = newest_first.find(|(taken_at, _)| *taken_at <= at);
        let (_, snapshot) = found.or_else(|| self.samples.front())?;
        Some(sync::Arc::clone(snapshot))
    }
}
