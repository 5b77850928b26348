//! Membership: which entries of the fleet are expected, alive or leaving.
//!
//! Two sources are kept apart. The platform's VM list, which lags, names the expected entries.
//! `Alive` facts, gossiped by the entries themselves, show which ones run: a member of which no
//! newer fact came by any path is suspect after [`SUSPECT_AFTER`] and dead after [`DEAD_AFTER`].
//! A later incarnation replaces the earlier one at once.
//!
//! A process that was itself frozen for more than [`FROZEN_AFTER`] could not receive anything. It
//! moves the times at which it last heard of members forward by the gap, so that it does not
//! consider them dead.

use std::{collections, time};

use crate::{
    boundary::platform,
    ids, mutation,
    process::{message, node},
};

mod member;

pub use member::{Member, State};

/// Time without a newer fact after which a member is suspect.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_secs(2);
/// Time without a newer fact after which a member is dead.
pub const DEAD_AFTER: time::Duration = time::Duration::from_secs(3);
/// Gap between two calls of [`Members::expire`] beyond which the process was frozen in between.
pub const FROZEN_AFTER: time::Duration = time::Duration::from_secs(1);
/// Time without a newer fact after which a member that is not listed is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// A change of a member that other components react to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Member's VM.
    pub vm: ids::VmId,
    /// `live`, `suspect`, `dead` or `leaving`.
    pub state: &'static str,
    /// Whether the member was replaced by a later incarnation.
    pub restarted: bool,
}

/// Result of [`Members::expire`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Expiry {
    /// Whether this process was frozen since the last call.
    pub was_frozen: bool,
    /// Members that became suspect or dead.
    pub changes: Vec<Change>,
}

/// Members as this entry knows them, itself included.
#[derive(Debug)]
pub struct Members {
    own: ids::VmId,
    members: collections::BTreeMap<ids::VmId, Member>,
    listed: collections::BTreeMap<ids::VmId, platform::Vm>,
    has_platform_list: bool,
    is_superseded: bool,
    expired_at: ids::Timestamp,
}

impl Members {
    /// Makes a membership in which only this entry is known.
    pub fn new(identity: &node::Identity, now: ids::Timestamp) -> Self {
        let own = Member::from_identity(identity, now);
        Self {
            own: identity.vm.clone(),
            members: collections::BTreeMap::from([(identity.vm.clone(), own)]),
            listed: collections::BTreeMap::new(),
            has_platform_list: false,
            is_superseded: false,
            expired_at: now,
        }
    }

    /// Replaces the listed entries by those of the platform's VM list.
    pub fn set_listed(&mut self, vms: &[platform::Vm]) {
        self.has_platform_list = true;
        self.listed = vms
            .iter()
            .filter(|vm| vm.role == platform::VmRole::Entry)
            .map(|vm| (vm.id.clone(), vm.clone()))
            .collect();
    }

    /// Returns whether the platform's VM list was ever read.
    pub const fn has_platform_list(&self) -> bool {
        self.has_platform_list
    }

    /// Returns whether a later incarnation of this entry was heard of.
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns the item of an entry in the platform's VM list.
    pub fn listed(&self, vm: &str) -> Option<&platform::Vm> {
        self.listed.get(vm)
    }

    /// Applies an `Alive` fact; returns the change if other components must react to it.
    pub fn apply_fact(&mut self, fact: &message::Fact, now: ids::Timestamp) -> Option<Change> {
        let message::FactBody::Alive { .. } = &fact.body else {
            return None;
        };
        if fact.author == self.own {
            self.is_superseded |= fact.incarnation > self.own_member().incarnation;
            return None;
        }
        match self.members.get_mut(&fact.author) {
            Some(member) => member.apply_fact(fact, now),
            None => self.add(fact, now),
        }
    }

    fn add(&mut self, fact: &message::Fact, now: ids::Timestamp) -> Option<Change> {
        if fact.age >= DEAD_AFTER {
            return None;
        }
        let member = Member::from_fact(fact, now)?;
        let change = member.to_change(&fact.author, false);
        self.members.insert(fact.author.clone(), member);
        Some(change)
    }

    /// Records the generation that a member has in force, unless a newer one is known.
    pub fn set_generation(&mut self, vm: &str, generation: ids::Generation) {
        if let Some(member) = self.members.get_mut(vm) {
            member.generation = member.generation.max(generation);
        }
    }

    /// Records that this entry is leaving.
    pub fn set_leaving(&mut self) {
        if let Some(own) = self.members.get_mut(&self.own) {
            own.leaving = true;
        }
    }

    /// Updates the liveness states and forgets members that are silent for long and not listed.
    pub fn expire(&mut self, now: ids::Timestamp) -> Expiry {
        let gap = now.saturating_sub(self.expired_at);
        let was_frozen = gap > FROZEN_AFTER;
        self.expired_at = now;
        let mut changes = Vec::new();
        for (vm, member) in &mut self.members {
            if was_frozen {
                member.last_seen_at = (member.last_seen_at + gap).min(now);
            }
            if *vm == self.own {
                member.last_seen_at = now;
            }
            changes.extend(member.expire(vm, now));
        }
        let listed = &self.listed;
        self.members.retain(|vm, member| {
            listed.contains_key(vm) || now.saturating_sub(member.last_seen_at) < FORGET_AFTER
        });
        Expiry {
            was_frozen,
            changes,
        }
    }

    /// Returns a member.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns all members, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::VmId, &Member)> {
        self.members.iter()
    }

    /// Returns the members that are not dead, this entry included.
    pub fn alive(&self) -> impl Iterator<Item = (&ids::VmId, &Member)> {
        self.iter()
            .filter(|(_, member)| member.state != State::Dead)
    }

    /// Returns whether this incarnation is the current one of a member that is not dead.
    pub fn is_alive(&self, vm: &str, incarnation: ids::Incarnation) -> bool {
        self.get(vm)
            .is_some_and(|member| member.incarnation == incarnation && member.state != State::Dead)
    }

    /// Returns whether this incarnation is known to have ended.
    ///
    /// An incarnation that was not heard of yet may have just started, unless the platform's VM
    /// list is known and does not name its VM.
    pub fn has_ended(&self, vm: &str, incarnation: ids::Incarnation) -> bool {
        match self.get(vm) {
            Some(member) if member.incarnation == incarnation => member.state == State::Dead,
            Some(member) => member.incarnation > incarnation,
            None if mutation::on("unheard_is_gone") => true,
            None => self.has_platform_list && !self.listed.contains_key(vm),
        }
    }

    /// Returns the entries of which a majority is counted: those listed and those alive.
    pub fn voters(&self) -> collections::BTreeSet<&ids::VmId> {
        self.listed
            .keys()
            .chain(self.alive().map(|(vm, _)| vm))
            .collect()
    }

    /// Returns the peer address of an entry, by its latest fact or else by the platform's list.
    pub fn peer_address(&self, vm: &str) -> Option<&str> {
        let known = self.members.get(vm).map(|member| &member.peer_address);
        let listed = self.listed.get(vm).map(|vm| &vm.peer_address);
        known.or(listed).map(String::as_str)
    }

    /// Returns the other entries that may be worth a link: those listed and those alive.
    pub fn peers(&self) -> collections::BTreeSet<&ids::VmId> {
        let mut vms = self.voters();
        vms.remove(&self.own);
        vms
    }

    fn own_member(&self) -> &Member {
        &self.members[&self.own]
    }
}
