//! Fake network: links with delays that keep the order of messages, and cuts in one direction.

use std::{collections, time};

use mustardshed_core::ids;

/// Name of the operators' client on the network.
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
    was_disrupted: bool,
}

impl Network {
    /// Cuts the link from `a` to `b`, one way.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.was_disrupted = true;
        self.cuts.insert((a.to_owned(), b.to_owned()));
    }

    /// Delays all messages of peers to `b`.
    pub fn slow(&mut self, b: &str, by: time::Duration) {
        self.was_disrupted = true;
        self.slow.insert(b.to_owned(), by);
    }

    fn delay(&self, b: &str) -> time::Duration {
        self.slow.get(b).copied().unwrap_or_default()
    }

    /// Restores all cut and slow links.
    pub fn restore_all(&mut self) {
        self.cuts.clear();
        self.slow.clear();
    }

    /// Returns whether a link is cut or slow.
    pub fn is_disrupted(&self) -> bool {
        !self.cuts.is_empty() || !self.slow.is_empty()
    }

    /// Returns whether a link was ever cut or slow.
    pub const fn was_disrupted(&self) -> bool {
        self.was_disrupted
    }

    /// Returns whether the link from `a` to `b` is cut.
    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        self.cuts.contains(&(a.to_owned(), b.to_owned()))
    }

    /// Returns the time at which a message sent now arrives; `None` if it is lost.
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
