//! The decision core of one entry process.
//!
//! A node is composed of small state machines, to which it passes events: [`cluster`] holds
//! members, configuration and its freshness; [`stewards`] grants credits of backend servers;
//! [`holder`] tracks the credits of this entry's own requests.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_core::process::{event, node};
//!
//! let identity = node::Identity {
//!     vm: "e1".into(),
//!     incarnation: 1,
//!     data_centre: "a".into(),
//!     address: "127.0.0.1:1".into(),
//!     peer_address: "127.0.0.1:2".into(),
//! };
//! let mut node = node::Node::new(identity, 7, time::Duration::ZERO);
//! node.handle(event::Event::Tick, node::TICK);
//! assert_eq!(node.snapshot(node::TICK).generation, 0);
//! ```

use std::{sync, time};

use crate::{
    boundary::platform,
    ids,
    process::{
        action, busy, cluster, event, fates, gossip, holder, latencies, links, members, servers,
        snapshot, stewards,
    },
};

mod answers;
mod credits;
mod peers;
mod periodic;
mod view;

/// Longest interval between two [`event::Event::Tick`]s.
pub const TICK: time::Duration = time::Duration::from_millis(100);
/// Interval between two heartbeats to a neighbour.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Identity of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// VM.
    pub vm: ids::VmId,
    /// Incarnation of the process; greater than any earlier one on this VM.
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
    cluster: cluster::ClusterState,
    servers: servers::Servers,
    stewards: stewards::Stewards,
    holder: holder::Holder,
    gossip: gossip::Gossip,
    links: links::Links,
    fates: fates::Fates,
    latencies: latencies::Latencies,
    busy: busy::Busy,
    is_leaving: bool,
    is_fresh: bool,
    version: u64,
    next_heartbeat_at: ids::Timestamp,
    have_members_changed: bool,
    must_refresh_snapshot: bool,
    snapshot: sync::Arc<snapshot::Snapshot>,
}

impl Node {
    /// Makes a node without any knowledge; `seed` staggers the heartbeats of different entries.
    pub fn new(identity: Identity, seed: u64, now: ids::Timestamp) -> Self {
        let phase = seed % u64::try_from(HEARTBEAT_INTERVAL.as_millis()).unwrap_or(1);
        let mut node = Self {
            cluster: cluster::ClusterState::new(&identity, now),
            servers: servers::Servers::default(),
            stewards: stewards::Stewards::new(identity.vm.clone()),
            holder: holder::Holder::default(),
            gossip: gossip::Gossip::new(identity.vm.clone()),
            links: links::Links::default(),
            fates: fates::Fates::default(),
            latencies: latencies::Latencies::default(),
            busy: busy::Busy::default(),
            is_leaving: false,
            is_fresh: false,
            version: 0,
            next_heartbeat_at: now + time::Duration::from_millis(phase),
            have_members_changed: true,
            must_refresh_snapshot: false,
            snapshot: sync::Arc::new(view::empty_snapshot(&identity, now)),
            identity,
        };
        node.refresh_snapshot(now);
        node
    }

    /// Handles an event; returns the actions to carry out, in order.
    pub fn handle(&mut self, event: event::Event, now: ids::Timestamp) -> Vec<action::Action> {
        let mut out = Vec::new();
        self.dispatch(event, now, &mut out);
        self.apply_consequences(now, &mut out);
        self.refresh_snapshot(now);
        out
    }

    /// Returns the node's state for traffic threads.
    ///
    /// Loads of backend servers, states of members and latencies may be some milliseconds old, more
    /// in a larger fleet. The configuration, its validity and whether this entry is leaving are
    /// always current, and a server that turned cold shows at once.
    pub fn snapshot(&self, _now: ids::Timestamp) -> sync::Arc<snapshot::Snapshot> {
        sync::Arc::clone(&self.snapshot)
    }

    fn dispatch(
        &mut self,
        event: event::Event,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        match event {
            event::Event::Tick => self.on_tick(now, out),
            event::Event::Peer {
                vm,
                incarnation,
                message,
            } => self.on_message(&vm, incarnation, message, now, out),
            event::Event::ConfigurationRead { begun_at, result } => {
                self.on_configuration_read(begun_at, result, out);
            }
            event::Event::VmsRead { result } => self.on_vms_read(result),
            event::Event::LoadRead {
                server,
                begun_at,
                result,
            } => self.on_load_read(&server, begun_at, result, now, out),
            event::Event::InFlight {
                in_flight,
                max_in_flight,
            } => self.busy.observe(in_flight, max_in_flight),
            event::Event::Acquire { ticket, req } => self.on_acquire(ticket, req, now, out),
            event::Event::Release { credit, feedback } => {
                self.on_release(&credit, feedback, now, out);
            }
            event::Event::Intent { ticket, record } => self.on_intent(ticket, &record, now, out),
            event::Event::Commit { ticket, record } => self.on_commit(ticket, record, out),
            event::Event::Fate(fate) => self.fates.record(fate),
            event::Event::WantFate { ticket, request } => {
                self.on_want_fate(ticket, &request, now, out);
            }
            event::Event::Leave => self.on_leave(now),
        }
    }

    fn on_vms_read(&mut self, result: Result<Vec<platform::Vm>, platform::PlatformError>) {
        let Ok(vms) = result else {
            return;
        };
        let is_leaving = vms
            .iter()
            .any(|vm| vm.id == self.identity.vm && vm.state == platform::VmState::Leaving);
        self.cluster.members.set_listed(&vms);
        self.servers.set_listed(&vms);
        self.have_members_changed = true;
        if is_leaving {
            self.set_leaving();
        }
    }

    fn on_leave(&mut self, now: ids::Timestamp) {
        self.set_leaving();
        self.next_heartbeat_at = now;
    }

    fn set_leaving(&mut self) {
        self.is_leaving = true;
        self.cluster.members.set_leaving();
        self.have_members_changed = true;
    }

    /// Recounts votes, and updates neighbours, stewards and freshness after an event.
    fn apply_consequences(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        if self.cluster.count_votes(now) {
            self.stewards.recollect(now);
        }
        if self.have_members_changed {
            self.have_members_changed = false;
            self.set_neighbours(now, out);
            self.assign_stewards(now, out);
        }
        self.update_freshness(now, out);
    }

    fn update_freshness(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let is_fresh = now < self.cluster.may_place_until();
        if is_fresh == self.is_fresh {
            return;
        }
        self.is_fresh = is_fresh;
        let reason = match self.cluster.freshness.confirmation_age(now) {
            _ if self.cluster.members.is_superseded() => "superseded by a later run".to_owned(),
            Some(age) => format!("confirmed {} ms ago", age.as_millis()),
            None => "never confirmed".to_owned(),
        };
        out.push(action::Action::Log(action::LogEvent::FreshnessChanged {
            fresh: is_fresh,
            reason,
        }));
    }

    fn log_member_change(&mut self, change: members::Change, out: &mut Vec<action::Action>) {
        out.push(action::Action::Log(action::LogEvent::MemberChanged {
            vm: change.vm,
            state: change.state,
        }));
        self.have_members_changed = true;
    }
}
