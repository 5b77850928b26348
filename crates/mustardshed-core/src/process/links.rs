//! Links to other entries: permanent to neighbours, to others until they are idle for a while.

use std::{collections, time};

use crate::{
    ids,
    process::{action, message},
};

/// Time after which an unused link to an entry that is not a neighbour is closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// An open link to another entry.
#[derive(Clone, Debug)]
struct Link {
    peer_address: String,
    is_neighbour: bool,
    used_at: ids::Timestamp,
}

/// Links by VM.
#[derive(Debug, Default)]
pub struct Links {
    links: collections::BTreeMap<ids::VmId, Link>,
}

impl Links {
    /// Opens links to the neighbours, given with their addresses, and closes idle links to others.
    pub fn set_neighbours(
        &mut self,
        neighbours: &collections::BTreeMap<ids::VmId, String>,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        for (vm, peer_address) in neighbours {
            self.connect(vm, peer_address, now, out);
        }
        self.links.retain(|vm, link| {
            link.is_neighbour = neighbours.contains_key(vm);
            let is_kept = link.is_neighbour || now.saturating_sub(link.used_at) < IDLE_TIMEOUT;
            if !is_kept {
                out.push(action::Action::Disconnect { vm: vm.clone() });
            }
            is_kept
        });
    }

    /// Returns the neighbours.
    pub fn neighbours(&self) -> Vec<ids::VmId> {
        self.links
            .iter()
            .filter(|(_, link)| link.is_neighbour)
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Sends a message; first opens a link if there is none and the address is known.
    pub fn send(
        &mut self,
        vm: &ids::VmId,
        peer_address: Option<&str>,
        message: message::Message,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        if let Some(peer_address) = peer_address {
            self.connect(vm, peer_address, now, out);
        }
        out.push(action::Action::Send {
            vm: vm.clone(),
            message,
        });
    }

    fn connect(
        &mut self,
        vm: &ids::VmId,
        peer_address: &str,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        if let Some(link) = self.links.get_mut(vm) {
            link.used_at = now;
            if link.peer_address == peer_address {
                return;
            }
        }
        let link = Link {
            peer_address: peer_address.to_owned(),
            is_neighbour: false,
            used_at: now,
        };
        self.links.insert(vm.clone(), link);
        out.push(action::Action::Connect {
            vm: vm.clone(),
            peer_address: peer_address.to_owned(),
        });
    }
}
