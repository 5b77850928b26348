//! Links between processes: delays, cuts one way or both, order kept on each link.

use std::{collections, time};

use mustardshed_core::ids;

/// Name under which the operators' client stands on the network.
pub const OPERATOR: &str = "operator";

const LEAST_DELAY: time::Duration = time::Duration::from_micros(500);
const MOST_EXTRA_DELAY_US: u64 = 3000;

/// The network.
#[derive(Debug, Default)]
pub struct Network {
    cuts: collections::BTreeSet<(String, String)>,
    last_arrival: collections::BTreeMap<(String, String), ids::Timestamp>,
    sent: u64,
}

impl Network {
    /// Cuts the link from `a` to `b`, one way.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
    }

    /// Mends all links.
    pub fn mend_all(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether the link from `a` to `b` is cut.
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&(a.to_owned(), b.to_owned()))
    }

    /// Returns when a message arrives, or nothing if it is lost.
    pub fn arrival(&mut self, a: &str, b: &str, now: ids::Timestamp) -> Option<ids::Timestamp> {
        if self.is_cut(a, b) {
            return None;
        }
        self.sent += 1;
        let extra = self.sent.wrapping_mul(0x9E37_79B9) % MOST_EXTRA_DELAY_US;
        let arrival = now + LEAST_DELAY + time::Duration::from_micros(extra);
        let last = self.last_arrival.entry((a.to_owned(), b.to_owned()));
        let last = last.or_default();
        *last = arrival.max(*last);
        Some(*last)
    }
}
