//! Topology of heartbeats: which entries send to which.
//!
//! Up to [`MESH_LIMIT`] entries form a full mesh. A larger fleet is a ring in the order of
//! hashes, which keeps it connected, with further links chosen by rendezvous hashing, which keep
//! the paths short.
//!
//! In an outage of the platform a majority must confirm the configuration, which neighbours alone
//! cannot do in a large fleet. A few entries, the confirmers, then also send heartbeats to all
//! others, and each of the others to some of the confirmers. Entries with the same view of the
//! fleet choose the same confirmers.

use std::collections;

use xxhash_rust::xxh3;

use crate::ids;

/// Most entries of a full mesh.
pub const MESH_LIMIT: usize = 16;
/// Number of neighbours of each entry in a larger fleet.
pub const NEIGHBOURS: usize = 8;

/// Number of entries that contact all others in an outage of the platform.
const CONFIRMERS: usize = 8;
/// Number of confirmers that each other entry contacts.
const ASKED_CONFIRMERS: usize = 2;
/// Hash seed by which confirmers are chosen.
const CONFIRMER_SEED: &str = "confirmer";

/// Number of successors on the ring among the neighbours of each entry.
const SUCCESSORS: usize = 2;

/// Returns the neighbours of `own` among `others`, to which it always sends heartbeats.
pub fn neighbours(
    own: &str,
    others: &collections::BTreeSet<&ids::VmId>,
) -> collections::BTreeSet<ids::VmId> {
    if others.len() < MESH_LIMIT {
        return others.iter().map(|vm| (*vm).clone()).collect();
    }
    let mut chosen = successors(own, others);
    let mut ranked: Vec<_> = others.iter().map(|vm| (weight(own, vm), *vm)).collect();
    ranked.sort_unstable();
    for (_, vm) in ranked {
        if chosen.len() >= NEIGHBOURS {
            break;
        }
        chosen.insert(vm.clone());
    }
    chosen
}

/// Returns the entries to which `own` sends heartbeats in an outage of the platform, neighbours
/// or not; none in a full mesh.
pub fn outage_contacts(
    own: &str,
    others: &collections::BTreeSet<&ids::VmId>,
) -> collections::BTreeSet<ids::VmId> {
    if others.len() < MESH_LIMIT {
        return collections::BTreeSet::new();
    }
    let own = own.to_owned();
    let mut confirmers: Vec<&ids::VmId> = others.iter().copied().chain([&own]).collect();
    confirmers.sort_by_key(|vm| (weight(CONFIRMER_SEED, vm), *vm));
    confirmers.truncate(CONFIRMERS);
    if confirmers.contains(&&own) {
        return others.iter().map(|vm| (*vm).clone()).collect();
    }
    confirmers.sort_by_key(|vm| (weight(&own, vm), *vm));
    confirmers
        .into_iter()
        .take(ASKED_CONFIRMERS)
        .cloned()
        .collect()
}

/// Returns the rendezvous weight of `b` for `a`; the same on every entry.
pub fn weight(a: &str, b: &str) -> u64 {
    let seed = xxh3::xxh3_64(a.as_bytes());
    xxh3::xxh3_64_with_seed(b.as_bytes(), seed)
}

fn successors(
    own: &str,
    others: &collections::BTreeSet<&ids::VmId>,
) -> collections::BTreeSet<ids::VmId> {
    let position = |vm: &str| (xxh3::xxh3_64(vm.as_bytes()), vm.to_owned());
    let own = position(own);
    let mut ring: Vec<_> = others.iter().map(|vm| position(vm)).collect();
    ring.sort_unstable();
    let start = ring.partition_point(|other| *other < own);
    ring.iter()
        .cycle()
        .skip(start)
        .take(SUCCESSORS)
        .map(|(_, vm)| vm.clone())
        .collect()
}
