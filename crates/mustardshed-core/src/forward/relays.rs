//! Which entries relay state between the others.
//!
//! In a small fleet every entry reports its work in flight to every other one: a mesh. The messages
//! of a mesh grow with the square of the number of entries, so in a larger fleet a few entries, the
//! *relays*, form the mesh, and every other entry, a *leaf*, reports to one relay and hears the
//! rest from it. All entries choose the same relays from the registered ones, without coordination;
//! entries that have not been heard of for a while are skipped.

use std::{collections, time};

use crate::{
    forward::{live_entries, rendezvous},
    ids,
};

/// Largest fleet that forms a full mesh. A relay in larger fleets has about as many links.
pub const MAX_MESH_ENTRIES: usize = 12;
/// Minimum number of relays in a data centre, so that one can be lost.
const MIN_RELAYS_PER_DATA_CENTRE: usize = 2;
/// Silence after which an entry is skipped.
const ABSENT_AFTER: time::Duration = live_entries::DEAD_AFTER;
/// How long a leaf avoids a relay after a failed link: as long as it takes to try a dozen others of
/// which none answers.
const FAILURE_BACK_OFF: time::Duration = time::Duration::from_secs(10);

/// A registered entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// `IP:PORT` for peers.
    pub peer_address: String,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// CPU capacity, in cores.
    pub cpu_cores: f64,
}

/// Registered entries by name.
pub type Members = collections::BTreeMap<ids::VmId, Member>;

/// Links that an entry opens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Links {
    /// To each of these; it reports its own work to them, and that of its leaves if it has any.
    Mesh(Vec<ids::VmId>),
    /// To the first of these that answers, in this order; it reports its own work to that one and
    /// hears the rest from it.
    Leaf(Vec<ids::VmId>),
}

/// What one entry knows of the possible relays.
#[derive(Debug, Default)]
pub struct Relays {
    silent_since: collections::HashMap<ids::VmId, ids::Timestamp>,
    failed_at: collections::HashMap<ids::VmId, ids::Timestamp>,
}

impl Relays {
    /// Records which entries are registered, and which of them have been heard of lately.
    pub fn update(
        &mut self,
        members: &Members,
        is_heard: impl Fn(&ids::VmId) -> bool,
        now: ids::Timestamp,
    ) {
        let silent = members.keys().filter(|vm| !is_heard(vm));
        let silent: Vec<&ids::VmId> = silent.collect();
        // An entry that hears none of the others cannot conclude that any of them is silent.
        if silent.len() + 1 >= members.len() {
            self.silent_since.clear();
            return;
        }
        self.silent_since.retain(|vm, _| silent.contains(&vm));
        for vm in silent {
            self.silent_since.entry(vm.clone()).or_insert(now);
        }
    }

    /// Records that a link to a relay has failed.
    pub fn record_failure(&mut self, vm: &str, now: ids::Timestamp) {
        self.failed_at.insert(vm.to_owned(), now);
        self.failed_at.retain(|_, at| *at + FAILURE_BACK_OFF > now);
    }

    /// Returns whether `own` is a relay; in a small fleet every entry is.
    #[must_use]
    pub fn is_relay(&self, own: &str, members: &Members, now: ids::Timestamp) -> bool {
        matches!(self.links(own, members, now), Links::Mesh(_))
    }

    /// Returns whether `own` accepts `leaf` as its leaf: as a relay, or while it hears no relay
    /// itself and ranks before `leaf`, so that two entries are never each other's leaves.
    #[must_use]
    pub fn accepts_leaf(
        &self,
        own: &str,
        leaf: &str,
        has_relay: bool,
        members: &Members,
        now: ids::Timestamp,
    ) -> bool {
        if self.is_relay(own, members, now) {
            return true;
        }
        let ranked = self.ranked(own, members, now);
        let place = |vm: &str| ranked.iter().position(|(other, _)| *other == vm);
        !has_relay && place(leaf).is_none_or(|leaf| place(own).is_some_and(|own| own < leaf))
    }

    /// Returns the links that `own` opens.
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

    /// Returns the order in which a leaf tries the relays: those of its data centre first, each
    /// leaf with its own preference; then the entries next in rank; those that failed last.
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

    /// Returns the entries that are not silent, ranked as relays: in turn one of each data centre,
    /// the one with the most CPU capacity first.
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

/// Returns the number of relays: about as many as each has leaves, the same in all data centres that
/// have enough entries.
fn relay_count(members: &[Ranked<'_>]) -> usize {
    let data_centres: collections::BTreeSet<&ids::DataCentreId> = members
        .iter()
        .map(|(_, member)| &member.data_centre)
        .collect();
    let of_each = members.len().isqrt() / data_centres.len().max(1);
    let wanted = of_each.max(MIN_RELAYS_PER_DATA_CENTRE) * data_centres.len();
    wanted.min(members.len())
}
