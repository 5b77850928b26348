//! This entry's paths to servers, and what it does for peers that have lost theirs.

use std::sync::{self, atomic};

use mustardshed::core::{
    forward::{live_entries, paths},
    ids,
};
use rand::seq::{IteratorRandom, SliceRandom};

use crate::{
    forward::cx::Cx,
    log::{self, event},
};

/// Counts a tunnel as open until dropped.
#[derive(Debug)]
pub struct TunnelGuard(sync::Arc<Cx>);

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.0.tunnels.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Cx {
    /// Returns how to connect to a server.
    #[must_use]
    pub fn plan_path(&self, server: &str) -> paths::Plan {
        let now = self.now();
        self.state().paths.plan(server, now)
    }

    /// Records whether this entry could connect to a server by itself.
    pub fn record_connection(&self, server: &str, is_connected: bool) {
        let now = self.now();
        let mut state = self.state();
        let change = if is_connected {
            state.paths.record_connected(server, now)
        } else {
            state.paths.record_failed(server, now)
        };
        drop(state);
        match change {
            Some(paths::Change::Lost { servers }) => {
                log::emit(&event::Event::PathsLost { servers })
            }
            Some(paths::Change::Restored { after }) => log::emit(&event::Event::PathsRestored {
                server,
                after_ms: after.as_millis(),
            }),
            None => {}
        }
    }

    /// Records that the peer on `vm` has connected to a server while this entry could not.
    pub fn record_bypass(&self, server: &str, vm: &str) {
        let now = self.now();
        let mut state = self.state();
        let change = state.paths.record_failed(server, now);
        let is_new = state.paths.record_bypass(server, now);
        drop(state);
        if let Some(paths::Change::Lost { servers }) = change {
            log::emit(&event::Event::PathsLost { servers });
        }
        if is_new {
            log::emit(&event::Event::PathBypassed { server, peer: vm });
        }
    }

    /// Records that a peer could not connect to a server that was reached in another way.
    pub fn record_peer_failed(&self, vm: &str) {
        let now = self.now();
        self.state().paths.record_peer_failed(vm, now);
    }

    /// Returns up to `limit` peers that may connect to servers for this entry, in the order in which
    /// to ask them.
    #[must_use]
    pub fn peers_to_ask(&self, limit: usize) -> Vec<paths::Peer> {
        let now = self.now();
        let state = self.state();
        let others = state.view.members().iter();
        let others = others.filter(|(vm, _)| **vm != self.settings.vm);
        let peers = others.filter_map(|(vm, member)| {
            let (entry, heard_at) = state.live_entries.get(vm, now)?;
            let is_suspect = now.saturating_sub(heard_at) >= live_entries::SUSPECT_AFTER;
            if is_suspect || !entry.takes_work || state.paths.is_passed_over(vm, now) {
                return None;
            }
            Some(paths::Peer {
                vm: vm.clone(),
                address: member.peer_address.clone(),
                is_local: member.data_centre == self.settings.data_centre,
                is_cut_off: entry.is_cut_off,
            })
        });
        let mut peers: Vec<paths::Peer> = peers.collect();
        peers.shuffle(&mut rand::rng());
        paths::peers_to_ask(peers, limit)
    }

    /// Returns whether any other entry takes work, so that what this one cannot reach may be sound.
    #[must_use]
    pub fn has_live_peers(&self) -> bool {
        let now = self.now();
        self.state().live_entries.fronts(now).next().is_some()
    }

    /// Returns up to `limit` usable servers but `except`, with their addresses.
    #[must_use]
    pub fn other_servers(&self, except: &str, limit: usize) -> Vec<(ids::BackendServerId, String)> {
        let now = self.now();
        let state = self.state();
        let servers = state.view.servers();
        let others = servers
            .filter(|server| server.id != except && state.view.usable(&server.id, now).is_some());
        let chosen = others.sample(&mut rand::rng(), limit);
        let chosen = chosen.into_iter();
        chosen
            .map(|server| (server.id.clone(), server.address.clone()))
            .collect()
    }

    /// Returns whether this entry has lately reached servers through peers only.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        let now = self.now();
        self.state().paths.is_cut_off(now)
    }

    /// Returns whether paths were bypassed at `since` or later.
    #[must_use]
    pub fn has_bypassed_since(&self, since: ids::Timestamp) -> bool {
        self.state().paths.was_bypassed_since(since)
    }

    /// Counts a tunnel to a server that a peer has opened.
    #[must_use]
    pub fn begin_tunnel(self: &sync::Arc<Self>) -> TunnelGuard {
        self.tunnels.fetch_add(1, atomic::Ordering::Relaxed);
        TunnelGuard(sync::Arc::clone(self))
    }

    /// Returns the number of open tunnels.
    #[must_use]
    pub fn tunnels(&self) -> usize {
        self.tunnels.load(atomic::Ordering::Relaxed)
    }
}
