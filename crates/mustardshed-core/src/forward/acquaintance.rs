//! Whether an entry that was just started has been told of the requests of others.
//!
//! Load pattern addressed: an entry is started while others are stopped, and clients turn to it as soon
//! as it accepts connections. Until its peers have opened their links to it, it takes their servers for
//! idle, and places prompts where they cut streams that must end soon.

use std::{collections, time};

use crate::{forward::relays, ids};

/// Longest time from the start for which prompts wait until the peers have told of their requests.
const MAX_WAIT: time::Duration = time::Duration::from_millis(400);

/// Peers that have told this entry of their requests since its start.
#[derive(Debug)]
pub struct Acquaintance {
    started_at: ids::Timestamp,
    heard: collections::BTreeSet<ids::VmId>,
    unreached: collections::BTreeSet<ids::VmId>,
    has_heard_relay: bool,
    is_complete: bool,
}

impl Acquaintance {
    /// Creates the record of an entry that has heard nobody.
    #[must_use]
    pub const fn new(started_at: ids::Timestamp) -> Self {
        Self {
            started_at,
            heard: collections::BTreeSet::new(),
            unreached: collections::BTreeSet::new(),
            has_heard_relay: false,
            is_complete: false,
        }
    }

    /// Records that a peer has told all its requests.
    pub fn record_heard(&mut self, vm: &str) {
        if !self.is_complete {
            self.heard.insert(vm.to_owned());
        }
    }

    /// Records that the relay of this leaf has told the requests of all others.
    pub const fn record_relay(&mut self) {
        self.has_heard_relay = true;
    }

    /// Records that a peer was not reached.
    pub fn record_unreached(&mut self, vm: &str) {
        if !self.is_complete {
            self.unreached.insert(vm.to_owned());
        }
    }

    /// Returns whether prompts need not wait any longer.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the number of peers that have told their requests, and the time since the start.
    #[must_use]
    pub fn heard(&self, now: ids::Timestamp) -> (usize, time::Duration) {
        let heard = self.heard.len() + usize::from(self.has_heard_relay);
        (heard, now.saturating_sub(self.started_at))
    }

    /// Completes the record if every peer that this entry has links to has told its requests, or could
    /// not be reached, or the wait for that is over. `links` is none while the entries are not listed.
    pub fn update(&mut self, links: Option<&relays::Links>, now: ids::Timestamp) {
        let is_settled = |vm: &ids::VmId| self.heard.contains(vm) || self.unreached.contains(vm);
        let is_told = match links {
            None => false,
            Some(relays::Links::Mesh(others)) => others.iter().all(is_settled),
            Some(relays::Links::Leaf(order)) => {
                let first = order.first();
                self.has_heard_relay || first.is_none_or(|vm| self.unreached.contains(vm))
            }
        };
        let is_over = now.saturating_sub(self.started_at) >= MAX_WAIT;
        self.is_complete |= is_told || is_over;
    }
}
