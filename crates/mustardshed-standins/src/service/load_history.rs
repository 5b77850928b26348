//! Past load reports, for reports that lag.

use std::{collections, time};

use crate::service::load_report;

/// Shortest time between two kept reports.
const SAMPLE_EVERY: time::Duration = time::Duration::from_millis(10);
/// Largest number of reports kept.
const MAX_SAMPLES: usize = 1_024;

/// Superseded reports with the times until which they were valid, the oldest first.
#[derive(Debug, Default)]
pub struct LoadHistory {
    superseded: collections::VecDeque<(time::Duration, load_report::LoadReport)>,
}

impl LoadHistory {
    /// Returns whether a report that is superseded at `now` would be kept.
    pub fn wants(&self, now: time::Duration) -> bool {
        let last = self.superseded.back();
        last.is_none_or(|(until, _)| *until + SAMPLE_EVERY <= now)
    }

    /// Keeps a report that is superseded at `now`.
    pub fn push(&mut self, now: time::Duration, report: load_report::LoadReport) {
        if self.superseded.len() == MAX_SAMPLES {
            self.superseded.pop_front();
        }
        self.superseded.push_back((now, report));
    }

    /// Returns the report that was valid at `time`; `None` if it is still valid.
    pub fn at(&self, time: time::Duration) -> Option<&load_report::LoadReport> {
        let index = self.superseded.partition_point(|(until, _)| *until <= time);
        self.superseded.get(index).map(|(_, report)| report)
    }
}
