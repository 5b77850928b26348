//! The decision core of one entry process.

use std::{sync, time};

use crate::{
    ids,
    process::{action, event, snapshot},
};

/// Longest time between two [`event::Event::Tick`]s.
pub const TICK: time::Duration = time::Duration::from_millis(100);

/// Who a node is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// VM.
    pub vm: ids::VmId,
    /// Run of the process; greater than any earlier one on this VM.
    pub incarnation: ids::Incarnation,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// `IP:PORT` towards callers.
    pub address: String,
    /// `IP:PORT` towards peers.
    pub peer_address: String,
}

/// The control state of one entry process.
#[derive(Debug)]
pub struct Node {
    identity: Identity,
}

impl Node {
    /// Makes a node that knows nothing yet; `seed` feeds its random choices.
    pub fn new(identity: Identity, _seed: u64, _now: ids::Timestamp) -> Self {
        Self { identity }
    }

    /// Handles an event and returns what is to be done, in order.
    pub fn handle(&mut self, _event: event::Event, _now: ids::Timestamp) -> Vec<action::Action> {
        Vec::new()
    }

    /// Returns what the node knows, for traffic threads.
    pub fn snapshot(&self, now: ids::Timestamp) -> sync::Arc<snapshot::Snapshot> {
        sync::Arc::new(snapshot::Snapshot {
            taken_at: now,
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            generation: 0,
            text: sync::Arc::default(),
            data_centres_out: Default::default(),
            may_place_until: time::Duration::ZERO,
            leaving: false,
            servers: Default::default(),
            members: Default::default(),
            distances: Default::default(),
        })
    }
}
