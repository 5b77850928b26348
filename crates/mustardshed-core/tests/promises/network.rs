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
    slow: collections::BTreeMap<String, time::Duration>,
    last_arrival: collections::BTreeMap<(String, String), ids::Timestamp>,
    sent: u64,
    was_disturbed: bool,
}

impl Network {
    /// Cuts the link from `a` to `b`, one way.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.was_disturbed = true;
        self.cuts.insert((a.to_owned(), b.to_owned()));
    }

    /// Lets all that peers send to `b` arrive late.
    pub fn slow(&mut self, b: &str, by: time::Duration) {
        self.was_disturbed = true;
        self.slow.insert(b.to_owned(), by);
    }

    fn delay(&self, b: &str) -> time::Duration {
        self.slow.get(b).copied().unwrap_or_default()
    }

    /// Mends all links.
    pub fn mend_all(&mut self) {
        self.cuts.clear();
        self.slow.clear();
    }

    /// Returns whether a link is cut or slow.
    pub fn is_disturbed(&self) -> bool {
        !self.cuts.is_empty() || !self.slow.is_empty()
    }

    /// Returns whether a link was ever cut or slow.
    pub const fn was_disturbed(&self) -> bool {
        self.was_disturbed
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
        let extra = time::Duration::from_micros(extra) + self.delay(b);
        let arrival = now + LEAST_DELAY + extra;
        let last = self.last_arrival.entry((a.to_owned(), b.to_owned()));
        let last = last.or_default();
        *last = arrival.max(*last);
        Some(*last)
    }
}
