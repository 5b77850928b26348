//! The usual answer time of one route.

use std::collections;

use crate::ids;

/// Answers that are kept: an entry of a large fleet sees a few in a second on its busiest route.
const MAX_ANSWERS: usize = 64;
/// Answers from which on the usual time is known.
const MIN_ANSWERS: usize = 12;
/// Share of the answers that are not slower than usual, in tenths; up to one slow server in ten is
/// then told apart from the others.
const QUANTILE_TENTHS: usize = 9;

/// The last answer times of a route, as ratios to the expected time.
#[derive(Debug, Default)]
pub(super) struct Usual {
    ratios: collections::VecDeque<f64>,
    last_at: ids::Timestamp,
}

impl Usual {
    pub(super) fn record(&mut self, ratio: f64, now: ids::Timestamp) {
        if self.ratios.len() == MAX_ANSWERS {
            self.ratios.pop_front();
        }
        self.ratios.push_back(ratio);
        self.last_at = now;
    }

    /// Returns the usual ratio; none until enough answers are known.
    pub(super) fn ratio(&self) -> Option<f64> {
        if self.ratios.len() < MIN_ANSWERS {
            return None;
        }
        let mut ratios: Vec<f64> = self.ratios.iter().copied().collect();
        let rank = (ratios.len() * QUANTILE_TENTHS).div_ceil(10) - 1;
        let (_, usual, _) = ratios.select_nth_unstable_by(rank, f64::total_cmp);
        Some(*usual)
    }

    pub(super) const fn last_at(&self) -> ids::Timestamp {
        self.last_at
    }
}
