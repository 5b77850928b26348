//! Who sends heartbeats to whom.
//!
//! Up to [`MESH_LIMIT`] entries everybody sends to everybody. A larger fleet is a ring in the
//! order of hashes, which keeps it connected, with further links chosen by rendezvous hashing,
//! which keep the paths short.
//!
//! In an outage of the platform a majority must confirm the configuration, which neighbours alone
//! cannot do in a large fleet. A few entries, the same in everybody's view, then ask all others,
//! and each of the others asks some of those few.

use std::collections;

use xxhash_rust::xxh3;

use crate::ids;

/// Entries up to which everybody sends to everybody.
pub const MESH_LIMIT: usize = 16;
/// Entries to which each one sends in a larger fleet.
pub const NEIGHBOURS: usize = 8;

/// Entries that ask all others in an outage of the platform.
const CONFIRMERS: usize = 8;
/// Of those, how many each other entry asks.
const ASKED_CONFIRMERS: usize = 2;
/// Name under which confirmers are chosen.
const CONFIRMER_SEED: &str = "confirmer";

/// Successors on the ring to which each entry sends.
const SUCCESSORS: usize = 2;

/// Returns the entries to which `own` sends heartbeats, out of `others`.
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

/// Returns the entries beside neighbours to which `own` sends bare heartbeats in an outage.
pub fn outage_contacts(
    own: &str,
    others: &collections::BTreeSet<&ids::VmId>,
) -> collections::BTreeSet<ids::VmId> {
    if others.len() < MESH_LIMIT {
        return collections::BTreeSet::new();
    }
    let own = own.to_owned();
    let mut all: Vec<&ids::VmId> = others.iter().copied().chain([&own]).collect();
    all.sort_by_key(|vm| (weight(CONFIRMER_SEED, vm), *vm));
    all.truncate(CONFIRMERS);
    if all.contains(&&own) {
        return others.iter().map(|vm| (*vm).clone()).collect();
    }
    all.sort_by_key(|vm| (weight(&own, vm), *vm));
    all.into_iter().take(ASKED_CONFIRMERS).cloned().collect()
}

/// Returns the weight of `b` among the choices of `a`; the same on every entry.
pub fn weight(a: &str, b: &str) -> u64 {
    let seed = xxh3::xxh3_64(a.as_bytes());
    xxh3::xxh3_64_with_seed(b.as_bytes(), seed)
}

fn successors(
    own: &str,
    others: &collections::BTreeSet<&ids::VmId>,
) -> collections::BTreeSet<ids::VmId> {
    let place = |vm: &str| (xxh3::xxh3_64(vm.as_bytes()), vm.to_owned());
    let own = place(own);
    let mut ring: Vec<_> = others.iter().map(|vm| place(vm)).collect();
    ring.sort_unstable();
    let start = ring.partition_point(|other| *other < own);
    ring.iter()
        .cycle()
        .skip(start)
        .take(SUCCESSORS)
        .map(|(_, vm)| vm.clone())
        .collect()
}
