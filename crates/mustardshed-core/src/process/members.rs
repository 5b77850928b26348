//! Entries of the fleet: who is expected, who is alive, who leaves.
//!
//! Two sources are kept apart. The platform's list names who is to be expected, late. `Alive`
//! facts, spread by the entries themselves, show who runs: a member whose fact has not grown by
//! any path for [`SUSPECT_AFTER`] is suspect, for [`DEAD_AFTER`] dead. A later incarnation makes
//! the earlier one dead at once.
//!
//! A process that was itself not run for more than [`FROZEN_AFTER`] could hear nobody. It
//! shifts what it last heard by the gap, so that it does not take the others for dead.

use std::{collections, time};

use crate::{
    boundary::platform,
    ids, mutation,
    process::{message, node},
};

mod member;

pub use member::{Member, State};

/// Silence after which a member is suspect.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_secs(2);
/// Silence after which a member is dead.
pub const DEAD_AFTER: time::Duration = time::Duration::from_secs(3);
/// Gap between two calls of [`Members::expire`] after which the process was frozen.
pub const FROZEN_AFTER: time::Duration = time::Duration::from_secs(1);
/// Silence after which a member that is not listed is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// A change of a member that others act upon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Member's VM.
    pub vm: ids::VmId,
    /// `live`, `suspect`, `dead` or `leaving`.
    pub state: &'static str,
    /// Whether an earlier run of the process was replaced.
    pub restarted: bool,
}

/// What went on since the last call of [`Members::expire`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Expiry {
    /// Whether this process was frozen.
    pub was_frozen: bool,
    /// Members that became suspect or dead.
    pub changes: Vec<Change>,
}

/// Members as this entry knows them, itself among them.
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
    /// Makes the members of a fleet of which only this entry is known.
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

    /// Takes the entries of the platform's list.
    pub fn set_listed(&mut self, vms: &[platform::Vm]) {
        self.has_platform_list = true;
        self.listed = vms
            .iter()
            .filter(|vm| vm.role == platform::VmRole::Entry)
            .map(|vm| (vm.id.clone(), vm.clone()))
            .collect();
    }

    /// Returns whether the platform's list was ever read.
    pub const fn has_platform_list(&self) -> bool {
        self.has_platform_list
    }

    /// Returns whether a later run of a process on this VM was heard of.
    pub const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns the listed item of an entry.
    pub fn listed(&self, vm: &str) -> Option<&platform::Vm> {
        self.listed.get(vm)
    }

    /// Takes an `Alive` fact; returns the change if others are to act upon it.
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
        let change = member.change(&fact.author, false);
        self.members.insert(fact.author.clone(), member);
        Some(change)
    }

    /// Notes the generation that a member says it has in force.
    pub fn set_generation(&mut self, vm: &str, generation: ids::Generation) {
        if let Some(member) = self.members.get_mut(vm) {
            member.generation = member.generation.max(generation);
        }
    }

    /// Notes that this entry leaves.
    pub fn set_leaving(&mut self) {
        if let Some(own) = self.members.get_mut(&self.own) {
            own.leaving = true;
        }
    }

    /// Moves members on to suspect and dead.
    pub fn expire(&mut self, now: ids::Timestamp) -> Expiry {
        let gap = now.saturating_sub(self.expired_at);
        let frozen = gap > FROZEN_AFTER;
        self.expired_at = now;
        let mut changes = Vec::new();
        for (vm, member) in &mut self.members {
            if frozen {
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
            was_frozen: frozen,
            changes,
        }
    }

    /// Returns a member.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns all members, dead ones too.
    pub fn iter(&self) -> impl Iterator<Item = (&ids::VmId, &Member)> {
        self.members.iter()
    }

    /// Returns members that are not dead, this entry among them.
    pub fn alive(&self) -> impl Iterator<Item = (&ids::VmId, &Member)> {
        self.iter()
            .filter(|(_, member)| member.state != State::Dead)
    }

    /// Returns whether this run of a process is not known to be over.
    pub fn is_alive(&self, vm: &str, incarnation: ids::Incarnation) -> bool {
        self.get(vm)
            .is_some_and(|member| member.incarnation == incarnation && member.state != State::Dead)
    }

    /// Returns whether this run of a process is known to be over.
    ///
    /// A run that was not heard of yet may be one that has just started, unless the platform's
    /// list does not name its VM.
    pub fn has_ended(&self, vm: &str, incarnation: ids::Incarnation) -> bool {
        match self.get(vm) {
            Some(member) if member.incarnation == incarnation => member.state == State::Dead,
            Some(member) => member.incarnation > incarnation,
            None if mutation::on("unheard_is_gone") => true,
            None => self.has_platform_list && !self.listed.contains_key(vm),
        }
    }

    /// Returns everybody whose word counts in a majority: the listed and the alive.
    pub fn voters(&self) -> collections::BTreeSet<&ids::VmId> {
        self.listed
            .keys()
            .chain(self.alive().map(|(vm, _)| vm))
            .collect()
    }

    /// Returns the address towards peers of an entry that is known by a fact or by the list.
    pub fn peer_address(&self, vm: &str) -> Option<&str> {
        let known = self.members.get(vm).map(|member| &member.peer_address);
        let listed = self.listed.get(vm).map(|vm| &vm.peer_address);
        known.or(listed).map(String::as_str)
    }

    /// Returns everybody to whom a link makes sense: the listed and the alive, without this entry.
    pub fn peers(&self) -> collections::BTreeSet<&ids::VmId> {
        let mut vms = self.voters();
        vms.remove(&self.own);
        vms
    }

    fn own_member(&self) -> &Member {
        &self.members[&self.own]
    }
}
