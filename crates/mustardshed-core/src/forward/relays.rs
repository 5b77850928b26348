//! Which entries pass on what the others tell.
//!
//! In a small fleet every entry tells every other one what it has in flight: a mesh. The messages of
//! a mesh grow with the square of the number of entries, so in a larger fleet a few entries, the
//! *relays*, form the mesh, and every other entry, a *leaf*, tells one relay and hears the rest from
//! it. All entries choose the same relays from what is registered, without agreement; entries that
//! have not been heard of for a while are passed over.

use std::{collections, time};

use crate::{
    forward::{live_entries, rendezvous},
    ids,
};

/// Entries up to which each tells every other one. A relay of the fleets above this has about as
/// many links.
pub const MAX_MESH_ENTRIES: usize = 12;
/// Least number of relays in a data centre, so that one can be lost.
const MIN_RELAYS_PER_DATA_CENTRE: usize = 2;
/// Time for which an entry must have been silent to be passed over.
const ABSENT_AFTER: time::Duration = live_entries::DEAD_AFTER;
/// Time for which a leaf leaves a relay alone to which its link has failed: as long as it takes to try
/// a dozen others of which none answers.
const FAILURE_BACK_OFF: time::Duration = time::Duration::from_secs(10);

/// A registered entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// `IP:PORT` towards peers.
    pub peer_address: String,
    /// Data centre in which it stands.
    pub data_centre: ids::DataCentreId,
    /// Processor time that it has, in cores.
    pub cpu_cores: f64,
}

/// Registered entries by name.
pub type Members = collections::BTreeMap<ids::VmId, Member>;

/// What an entry opens links to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Links {
    /// To each of these; it tells them its own work, and that of its leaves if it has any.
    Mesh(Vec<ids::VmId>),
    /// To the first of these that answers, in this order; it tells that one its own work and hears
    /// the rest from it.
    Leaf(Vec<ids::VmId>),
}

/// What one entry knows of who could be a relay.
#[derive(Debug, Default)]
pub struct Relays {
    silent_since: collections::HashMap<ids::VmId, ids::Timestamp>,
    failed_at: collections::HashMap<ids::VmId, ids::Timestamp>,
}

impl Relays {
    /// Takes which entries are registered, and which of them have been heard of lately.
    pub fn update(
        &mut self,
        members: &Members,
        is_heard: impl Fn(&ids::VmId) -> bool,
        now: ids::Timestamp,
    ) {
        let silent = members.keys().filter(|vm| !is_heard(vm));
        let silent: Vec<&ids::VmId> = silent.collect();
        // An entry that hears nobody, itself left out, learns nothing from that about one of them.
        if silent.len() + 1 >= members.len() {
            self.silent_since.clear();
            return;
        }
        self.silent_since.retain(|vm, _| silent.contains(&vm));
        for vm in silent {
            self.silent_since.entry(vm.clone()).or_insert(now);
        }
    }

    /// Takes that a link to a relay has failed.
    pub fn record_failure(&mut self, vm: &str, now: ids::Timestamp) {
        self.failed_at.insert(vm.to_owned(), now);
        self.failed_at.retain(|_, at| *at + FAILURE_BACK_OFF > now);
    }

    /// Returns whether `own` is a relay; in a small fleet every entry is.
    #[must_use]
    pub fn is_relay(&self, own: &str, members: &Members, now: ids::Timestamp) -> bool {
        matches!(self.links(own, members, now), Links::Mesh(_))
    }

    /// Returns whether `own` takes `leaf` for its leaf: as a relay, or for as long as it hears none
    /// itself and would be one before `leaf`, so that two entries never are each other's leaves.
    #[must_use]
    pub fn accepts_leaf(
        &self,
        own: &str,
        leaf: &str,
        hears_relay: bool,
        members: &Members,
        now: ids::Timestamp,
    ) -> bool {
        if self.is_relay(own, members, now) {
            return true;
        }
        let ranked = self.ranked(own, members, now);
        let place = |vm: &str| ranked.iter().position(|(other, _)| *other == vm);
        !hears_relay && place(leaf).is_none_or(|leaf| place(own).is_some_and(|own| own < leaf))
    }

    /// Returns what `own` opens links to.
    #[must_use]
    pub fn links(&self, own: &str, members: &Members, now: ids::Timestamp) -> Links {
        if members.len() <= MAX_MESH_ENTRIES {
            let others = members.keys().filter(|vm| *vm != own);
            return Links::Mesh(others.cloned().collect());
        }
        let ranked = self.ranked(own, members, now);
        let relays = if ranked.len() <= MAX_MESH_ENTRIES {
            ranked.len()
        } else {
            relay_count(&ranked)
        };
        let (relays, rest) = ranked.split_at(relays);
        if relays.iter().any(|(vm, _)| *vm == own) {
            let others = relays.iter().filter(|(vm, _)| *vm != own);
            return Links::Mesh(others.map(|(vm, _)| (*vm).to_owned()).collect());
        }
        Links::Leaf(self.leaf_order(own, members, relays, rest, now))
    }

    /// Returns the relays in the order in which a leaf tries them: near ones first, each leaf with a
    /// preference of its own; then entries that would be relays next; those that failed last.
    fn leaf_order(
        &self,
        own: &str,
        members: &Members,
        relays: &[Ranked<'_>],
        rest: &[Ranked<'_>],
        now: ids::Timestamp,
    ) -> Vec<ids::VmId> {
        let own_data_centre = members.get(own).map(|member| &member.data_centre);
        let has_failed = |vm: &str| {
            let at = self.failed_at.get(vm);
            at.is_some_and(|at| now.saturating_sub(*at) < FAILURE_BACK_OFF)
        };
        let mut relays = relays.to_vec();
        relays.sort_by(|(a, member_a), (b, member_b)| {
            let is_far = |member: &Member| Some(&member.data_centre) != own_data_centre;
            let preferred = rendezvous::score(own, b).total_cmp(&rendezvous::score(own, a));
            is_far(member_a).cmp(&is_far(member_b)).then(preferred)
        });
        let next = rest.iter().filter(|(vm, _)| *vm != own).copied();
        let (failed, usable): (Vec<Ranked<'_>>, Vec<Ranked<'_>>) = relays
            .into_iter()
            .chain(next)
            .partition(|(vm, _)| has_failed(vm));
        let order = usable.into_iter().chain(failed);
        order.map(|(vm, _)| vm.to_owned()).collect()
    }

    /// Returns the entries that are not silent, those first that should be relays: of each data
    /// centre in turn, those with the most processor time.
    fn ranked<'a>(&self, own: &str, members: &'a Members, now: ids::Timestamp) -> Vec<Ranked<'a>> {
        let is_absent = |vm: &str| {
            let since = self.silent_since.get(vm);
            vm != own && since.is_some_and(|since| now.saturating_sub(*since) >= ABSENT_AFTER)
        };
        let present = members.iter().filter(|(vm, _)| !is_absent(vm));
        let mut present: Vec<Ranked<'a>> = present.map(|(vm, m)| (vm.as_str(), m)).collect();
        present.sort_by(|(a, member_a), (b, member_b)| {
            let stronger = member_b.cpu_cores.total_cmp(&member_a.cpu_cores);
            let order = rendezvous::score("relay", a).total_cmp(&rendezvous::score("relay", b));
            stronger.then(order)
        });
        let mut ahead: collections::HashMap<&ids::DataCentreId, usize> =
            collections::HashMap::new();
        let turns = present.into_iter().map(|ranked| {
            let turn = ahead.entry(&ranked.1.data_centre).or_default();
            *turn += 1;
            (*turn, ranked)
        });
        let mut turns: Vec<(usize, Ranked<'a>)> = turns.collect();
        turns.sort_by_key(|(turn, (_, member))| (*turn, &member.data_centre));
        turns.into_iter().map(|(_, ranked)| ranked).collect()
    }
}

type Ranked<'a> = (&'a str, &'a Member);

/// Returns the number of relays: as many as each has leaves, alike in all data centres.
fn relay_count(members: &[Ranked<'_>]) -> usize {
    let data_centres: collections::BTreeSet<&ids::DataCentreId> = members
        .iter()
        .map(|(_, member)| &member.data_centre)
        .collect();
    let of_each = members.len().isqrt() / data_centres.len().max(1);
    of_each.max(MIN_RELAYS_PER_DATA_CENTRE) * data_centres.len()
}
