//! Assignment of stewards to backend servers, and the stewards that run on this entry.
//!
//! The steward is an entry in the server's data centre if there is one: credits for a local server
//! are then granted locally, and a data centre that is cut off keeps the stewards of its servers.

use std::{collections, time};

use crate::{
    boundary::platform,
    ids,
    process::{action, members, message, steward},
};

mod candidates;
mod change;

/// Time for which the credits of an ended stewardship are kept.
const KEEP_RETIRED_FOR: time::Duration = time::Duration::from_secs(10);
/// Interval at which an unchanged load is published again.
const REPUBLISH_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The same in a fleet too large for a full mesh, where small changes are not published at once.
const REPUBLISH_INTERVAL_IN_RING: time::Duration = time::Duration::from_secs(2);

/// A load as last published.
#[derive(Debug)]
struct Published {
    version: u64,
    at: ids::Timestamp,
    body: message::FactBody,
}

impl Published {
    /// Returns whether the load, which is now `body`, must be published again.
    fn is_due(&self, body: &message::FactBody, is_mesh: bool, now: ids::Timestamp) -> bool {
        if is_mesh {
            return self.body != *body || now >= self.at + REPUBLISH_INTERVAL;
        }
        change::is_significant(&self.body, body) || now >= self.at + REPUBLISH_INTERVAL_IN_RING
    }
}

/// Credits that were outstanding when a stewardship ended.
#[derive(Debug)]
struct Retired {
    at: ids::Timestamp,
    credits: Vec<message::HeldCredit>,
}

/// Stewards of all servers as chosen by this entry, and the stewards that run on it.
#[derive(Debug)]
pub struct Stewards {
    own: ids::VmId,
    chosen: collections::BTreeMap<ids::BackendServerId, ids::VmId>,
    stewards: collections::BTreeMap<ids::BackendServerId, steward::Steward>,
    retired: collections::BTreeMap<ids::BackendServerId, Retired>,
    published: collections::BTreeMap<ids::BackendServerId, Published>,
}

impl Stewards {
    /// Creates an empty assignment.
    pub const fn new(own: ids::VmId) -> Self {
        Self {
            own,
            chosen: collections::BTreeMap::new(),
            stewards: collections::BTreeMap::new(),
            retired: collections::BTreeMap::new(),
            published: collections::BTreeMap::new(),
        }
    }

    /// Assigns a steward to each server; returns refusals for the queues of own stewards that end.
    pub fn assign(
        &mut self,
        vms: &collections::BTreeMap<ids::BackendServerId, platform::Vm>,
        members: &members::Members,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) -> Vec<steward::Decision> {
        let candidates = candidates::Candidates::of(members);
        let mut refusals = Vec::new();
        let unlisted: Vec<_> = self
            .chosen
            .keys()
            .filter(|server| !vms.contains_key(*server))
            .cloned()
            .collect();
        for server in unlisted {
            self.set_steward(&server, None, None, now, &mut refusals, out);
        }
        for (server, vm) in vms {
            let candidates = candidates.in_data_centre(&vm.data_centre);
            let chosen = steward::choose(server, candidates.iter().copied()).cloned();
            self.set_steward(server, chosen, Some(vm), now, &mut refusals, out);
        }
        refusals
    }

    /// Sets the steward of a server, and starts or ends the steward on this entry accordingly.
    fn set_steward(
        &mut self,
        server: &ids::BackendServerId,
        chosen: Option<ids::VmId>,
        vm: Option<&platform::Vm>,
        now: ids::Timestamp,
        refusals: &mut Vec<steward::Decision>,
        out: &mut Vec<action::Action>,
    ) {
        if let (Some(steward), Some(vm)) = (self.stewards.get_mut(server), vm) {
            steward.set_vm(vm);
        }
        if self.chosen.get(server) == chosen.as_ref() {
            return;
        }
        out.push(action::Action::Log(action::LogEvent::StewardChanged {
            server: server.clone(),
            steward: chosen.clone(),
        }));
        refusals.extend(self.retire(server, now));
        let is_own = chosen.as_ref() == Some(&self.own);
        if let (true, Some(vm)) = (is_own, vm) {
            let steward = steward::Steward::new(vm.clone(), now);
            self.stewards.insert(server.clone(), steward);
        }
        match chosen {
            Some(chosen) => self.chosen.insert(server.clone(), chosen),
            None => self.chosen.remove(server),
        };
    }

    /// Ends the steward of a server if it runs on this entry; returns refusals for its queue.
    fn retire(
        &mut self,
        server: &ids::BackendServerId,
        now: ids::Timestamp,
    ) -> Vec<steward::Decision> {
        let Some(steward) = self.stewards.remove(server) else {
            return Vec::new();
        };
        let (credits, refusals) = steward.retire(now);
        let retired = Retired { at: now, credits };
        self.retired.insert(server.clone(), retired);
        refusals
    }

    /// Returns the steward of each server.
    pub const fn chosen(&self) -> &collections::BTreeMap<ids::BackendServerId, ids::VmId> {
        &self.chosen
    }

    /// Returns the steward of a server.
    pub fn of(&self, server: &str) -> Option<&ids::VmId> {
        self.chosen.get(server)
    }

    /// Returns the steward of a server if it runs on this entry.
    pub fn own_mut(&mut self, server: &str) -> Option<&mut steward::Steward> {
        self.stewards.get_mut(server)
    }

    /// Returns the servers whose steward runs on this entry.
    pub fn own_servers(&self) -> Vec<ids::BackendServerId> {
        self.stewards.keys().cloned().collect()
    }

    /// Makes all stewards on this entry collect the outstanding credits again.
    pub fn recollect(&mut self, now: ids::Timestamp) {
        for steward in self.stewards.values_mut() {
            steward.recollect(now);
        }
    }

    /// Returns the credits that this entry granted as an earlier steward of a server.
    pub fn retired_credits_on(&self, server: &str) -> &[message::HeldCredit] {
        self.retired
            .get(server)
            .map_or(&[], |retired| &retired.credits)
    }

    /// Removes the credits of stewardships that ended long ago.
    pub fn expire(&mut self, now: ids::Timestamp) {
        self.retired
            .retain(|_, retired| now < retired.at + KEEP_RETIRED_FOR);
    }

    /// Returns version, time of measurement and body of each load that must be published now, and
    /// counts it as published.
    ///
    /// In a full mesh every change is published at once, in a larger fleet only a significant one.
    pub fn take_due_loads(
        &mut self,
        is_mesh: bool,
        now: ids::Timestamp,
    ) -> Vec<(u64, ids::Timestamp, message::FactBody)> {
        let mut due = Vec::new();
        for (server, steward) in self.stewards.iter().filter(|(_, s)| s.is_load_known()) {
            let body = steward.load_fact();
            let last = self.published.get(server);
            if !last.is_none_or(|last| last.is_due(&body, is_mesh, now)) {
                continue;
            }
            let version = last.map_or(1, |s| s.version + 1);
            due.push((version, steward.measured_at(), body.clone()));
            let published = Published {
                version,
                at: now,
                body,
            };
            self.published.insert(server.clone(), published);
        }
        due
    }
}
