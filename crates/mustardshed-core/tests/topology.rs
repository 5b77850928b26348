//! Topology of heartbeats in small and large fleets.

use std::collections;

use googletest::prelude::*;
use mustardshed_core::{ids, process::topology};

fn fleet(entries: usize) -> Vec<ids::VmId> {
    (0..entries).map(|index| format!("e{index}")).collect()
}

fn neighbours(vms: &[ids::VmId], own: &ids::VmId) -> collections::BTreeSet<ids::VmId> {
    let others = vms.iter().filter(|vm| *vm != own).collect();
    topology::neighbours(own, &others)
}

/// Returns the most hops that a fact of `own` takes, and how many entries have it in the end.
fn reach(vms: &[ids::VmId], own: &ids::VmId) -> (usize, usize) {
    let mut reached = collections::BTreeSet::from([own.clone()]);
    let mut frontier = vec![own.clone()];
    let mut hops = 0;
    while !frontier.is_empty() {
        let next = frontier.iter().flat_map(|vm| neighbours(vms, vm));
        let next: Vec<_> = next.filter(|vm| reached.insert(vm.clone())).collect();
        hops += usize::from(!next.is_empty());
        frontier = next;
    }
    (hops, reached.len())
}

#[gtest]
fn small_fleet_is_a_mesh() {
    let vms = fleet(topology::MESH_LIMIT);

    let (hops, reached) = reach(&vms, &vms[0]);

    expect_that!((hops, reached), eq((1, topology::MESH_LIMIT)));
}

#[gtest]
fn fleet_of_400_is_connected_by_short_paths() {
    let vms = fleet(400);

    for own in vms.iter().step_by(40) {
        let (hops, reached) = reach(&vms, own);

        expect_that!(reached, eq(400));
        expect_that!(hops, le(5));
        expect_that!(neighbours(&vms, own).len(), eq(topology::NEIGHBOURS));
    }
}
