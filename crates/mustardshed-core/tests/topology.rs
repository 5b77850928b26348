//! Who sends heartbeats to whom in small and large fleets.

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

/// Returns the most steps that a fact of `own` takes, and to how many entries it comes.
fn spread(vms: &[ids::VmId], own: &ids::VmId) -> (usize, usize) {
    let mut reached = collections::BTreeSet::from([own.clone()]);
    let mut edge = vec![own.clone()];
    let mut steps = 0;
    while !edge.is_empty() {
        let next = edge.iter().flat_map(|vm| neighbours(vms, vm));
        let next: Vec<_> = next.filter(|vm| reached.insert(vm.clone())).collect();
        steps += usize::from(!next.is_empty());
        edge = next;
    }
    (steps, reached.len())
}

#[gtest]
fn small_fleet_is_a_mesh() {
    let vms = fleet(topology::MESH_LIMIT);

    let (steps, reached) = spread(&vms, &vms[0]);

    expect_that!((steps, reached), eq((1, topology::MESH_LIMIT)));
}

#[gtest]
fn fleet_of_400_is_connected_by_short_paths() {
    let vms = fleet(400);

    for own in vms.iter().step_by(40) {
        let (steps, reached) = spread(&vms, own);

        expect_that!(reached, eq(400));
        expect_that!(steps, le(5));
        expect_that!(neighbours(&vms, own).len(), eq(topology::NEIGHBOURS));
    }
}
