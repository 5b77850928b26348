//! Which servers this entry reaches by connections of its own, and which through peers.
//!
//! A server that a peer reaches and this entry does not is sound; the path to it is at fault. This
//! entry then *bypasses* the path: it connects through peers, and tries the path now and then.

use std::{collections, time};

use crate::ids;

/// Servers that cannot be reached, with none that can in between, after which this entry's paths
/// count as lost: fewer may well have ended at the same time.
const MIN_LOST_SERVERS: usize = 3;
/// Time from the first bypass of a path until it is tried again.
const MIN_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Longest interval between two tries of a path that stays bypassed.
const MAX_RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time for which a bypass shows that this entry is cut off.
const CUT_OFF_RETENTION: time::Duration = time::Duration::from_secs(3);
/// Time for which a peer is passed over after it could not connect to a server that was reached in
/// another way.
const PEER_BACK_OFF: time::Duration = time::Duration::from_secs(1);
/// Time for which a connection of this entry's own refutes a peer's report that the server cannot be
/// reached.
const CONNECTED_RETENTION: time::Duration = time::Duration::from_millis(250);

/// A change that concerns the paths to all servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The paths were lost.
    Lost {
        /// Servers that could not be reached.
        servers: usize,
    },
    /// A server was reached again.
    Restored {
        /// Time since the first failure.
        after: time::Duration,
    },
}

/// How to connect to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// By the path of this entry, and through peers if that fails or takes long.
    Direct,
    /// Through peers, and at the same time by the path if `tries_path`.
    Bypass {
        /// Whether the path is due to be tried.
        tries_path: bool,
    },
}

/// A bypassed path.
#[derive(Clone, Copy, Debug)]
struct Bypass {
    retry_at: ids::Timestamp,
    retry_interval: time::Duration,
}

/// Outcomes of this entry's connections to servers.
#[derive(Debug, Default)]
pub struct Paths {
    bypasses: collections::HashMap<ids::BackendServerId, Bypass>,
    connected_at: collections::HashMap<ids::BackendServerId, ids::Timestamp>,
    /// Servers that could not be reached since any was.
    failed: collections::HashSet<ids::BackendServerId>,
    first_failed_at: ids::Timestamp,
    /// Servers that only peers have reached since this entry reached any.
    cut_off_from: collections::HashSet<ids::BackendServerId>,
    last_bypass_at: Option<ids::Timestamp>,
    /// Servers that did not answer in any way since any server was reached.
    unanswered: collections::HashSet<ids::BackendServerId>,
    peers_failed_at: collections::HashMap<ids::VmId, ids::Timestamp>,
}

impl Paths {
    /// Returns how to connect to a server; a path that is due counts as tried.
    pub fn plan(&mut self, server: &str, now: ids::Timestamp) -> Plan {
        let Some(bypass) = self.bypasses.get_mut(server) else {
            return Plan::Direct;
        };
        let tries_path = now >= bypass.retry_at;
        if tries_path {
            bypass.retry_at = now + bypass.retry_interval;
        }
        Plan::Bypass { tries_path }
    }

    /// Records that this entry has connected to a server by itself; returns the change, if there is
    /// one.
    pub fn record_connected(&mut self, server: &str, now: ids::Timestamp) -> Option<Change> {
        self.bypasses.remove(server);
        self.connected_at.insert(server.to_owned(), now);
        self.cut_off_from.clear();
        let failed = std::mem::take(&mut self.failed).len();
        (failed >= MIN_LOST_SERVERS).then(|| Change::Restored {
            after: now.saturating_sub(self.first_failed_at),
        })
    }

    /// Records that this entry could not connect to a server by itself; returns the change, if there
    /// is one.
    pub fn record_failed(&mut self, server: &str, now: ids::Timestamp) -> Option<Change> {
        if self.failed.is_empty() {
            self.first_failed_at = now;
        }
        self.connected_at.remove(server);
        let is_new = self.failed.insert(server.to_owned());
        let servers = self.failed.len();
        (is_new && servers == MIN_LOST_SERVERS).then_some(Change::Lost { servers })
    }

    /// Records that a peer has connected to a server while this entry could not; returns whether the
    /// path was not bypassed before.
    pub fn record_bypass(&mut self, server: &str, now: ids::Timestamp) -> bool {
        let before = self.bypasses.get(server);
        let retry_interval = before.map_or(MIN_RETRY_INTERVAL, |before| {
            (before.retry_interval * 2).min(MAX_RETRY_INTERVAL)
        });
        let is_new = before.is_none();
        let bypass = Bypass {
            retry_at: now + retry_interval,
            retry_interval,
        };
        self.bypasses.insert(server.to_owned(), bypass);
        self.cut_off_from.insert(server.to_owned());
        self.last_bypass_at = Some(now);
        is_new
    }

    /// Returns whether several servers could not be reached, and none in between.
    #[must_use]
    pub fn are_lost(&self) -> bool {
        self.failed.len() >= MIN_LOST_SERVERS
    }

    /// Returns the number of servers whose paths are bypassed.
    #[must_use]
    pub fn bypassed(&self) -> usize {
        self.bypasses.len()
    }

    /// Returns whether this entry has lately reached servers through peers only.
    #[must_use]
    pub fn is_cut_off(&self, now: ids::Timestamp) -> bool {
        let is_recent = |at| now.saturating_sub(at) < CUT_OFF_RETENTION;
        self.cut_off_from.len() >= MIN_LOST_SERVERS && self.last_bypass_at.is_some_and(is_recent)
    }

    /// Records that a server was reached, by this entry itself or through a peer.
    pub fn record_reached(&mut self) {
        self.unanswered.clear();
    }

    /// Records that a server did not answer, neither this entry nor a peer.
    pub fn record_unanswered(&mut self, server: &str) {
        self.unanswered.insert(server.to_owned());
    }

    /// Returns whether no way leads to any server, as far as this entry has tried.
    #[must_use]
    pub fn leads_nowhere(&self) -> bool {
        self.unanswered.len() >= MIN_LOST_SERVERS
    }

    /// Returns whether a path was bypassed at `since` or later, so that what failed meanwhile says
    /// nothing of the server.
    #[must_use]
    pub fn was_bypassed_since(&self, since: ids::Timestamp) -> bool {
        self.last_bypass_at.is_some_and(|at| at >= since)
    }

    /// Returns whether this entry has just connected to a server by itself.
    #[must_use]
    pub fn has_just_connected(&self, server: &str, now: ids::Timestamp) -> bool {
        let at = self.connected_at.get(server);
        at.is_some_and(|at| now.saturating_sub(*at) < CONNECTED_RETENTION)
    }

    /// Records that a peer could not connect to a server that was reached in another way.
    pub fn record_peer_failed(&mut self, vm: &str, now: ids::Timestamp) {
        self.peers_failed_at.insert(vm.to_owned(), now);
    }

    /// Returns whether a peer is passed over.
    #[must_use]
    pub fn is_passed_over(&self, vm: &str, now: ids::Timestamp) -> bool {
        let at = self.peers_failed_at.get(vm);
        at.is_some_and(|at| now.saturating_sub(*at) < PEER_BACK_OFF)
    }

    /// Removes servers that are no longer listed.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.bypasses.retain(|id, _| is_listed(id));
        self.connected_at.retain(|id, _| is_listed(id));
        self.failed.retain(|id| is_listed(id));
        self.cut_off_from.retain(|id| is_listed(id));
        self.unanswered.retain(|id| is_listed(id));
    }
}

/// A peer that may connect to servers for this entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Its VM.
    pub vm: ids::VmId,
    /// `IP:PORT` for peers.
    pub address: String,
    /// Whether it runs in this entry's data centre.
    pub is_local: bool,
    /// Whether it has lately reached servers through peers only.
    pub is_cut_off: bool,
}

/// Returns up to `limit` peers to ask, in this order, out of `peers` in random order.
///
/// The first one is local, as bytes between data centres have a price; the next ones are remote, as a
/// whole data centre may be cut off. Peers that are cut off come last.
#[must_use]
pub fn peers_to_ask(peers: Vec<Peer>, limit: usize) -> Vec<Peer> {
    let (cut_off, sound): (Vec<Peer>, Vec<Peer>) =
        peers.into_iter().partition(|peer| peer.is_cut_off);
    let (local, remote): (Vec<Peer>, Vec<Peer>) = sound.into_iter().partition(|peer| peer.is_local);
    let mut local = local.into_iter();
    let first = local.next();
    let ordered = first.into_iter().chain(remote).chain(local).chain(cut_off);
    ordered.take(limit).collect()
}
