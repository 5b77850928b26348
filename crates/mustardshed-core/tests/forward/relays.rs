//! Which entries report to which, in fleets of different sizes.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    forward::{live_entries, relays},
    ids,
};

use proptest::{collection, prelude::any};

use crate::fixtures;

/// Returns a fleet whose data centres are equal in size and have two strong entries each.
fn fleet(data_centres: usize, entries_of_each: usize) -> relays::Members {
    let entries = (0..data_centres)
        .flat_map(|data_centre| (0..entries_of_each).map(move |i| (data_centre, i)));
    let members = entries.map(|(data_centre, i)| {
        let member = relays::Member {
            peer_address: format!("10.{data_centre}.0.{i}:80"),
            data_centre: format!("dc-{data_centre}"),
            cpu_cores: if i < 2 { 0.5 } else { 0.12 },
        };
        (format!("entry-{data_centre}-{i:02}"), member)
    });
    members.collect()
}

fn links(members: &relays::Members, vm: &str) -> relays::Links {
    relays::Relays::default().links(vm, members, fixtures::START)
}

/// Returns the entries that form the mesh.
fn mesh(members: &relays::Members) -> Vec<ids::VmId> {
    let is_relay = |vm: &&ids::VmId| matches!(links(members, vm), relays::Links::Mesh(_));
    members.keys().filter(is_relay).cloned().collect()
}

/// Returns the knowledge of an entry that last heard of the `silent` ones at the start.
fn after_silence_of(
    members: &relays::Members,
    silent: &[ids::VmId],
    now: ids::Timestamp,
) -> relays::Relays {
    let mut relays = relays::Relays::default();
    let is_heard = |vm: &ids::VmId| !silent.contains(vm);
    relays.update(members, is_heard, fixtures::START);
    relays.update(members, is_heard, now);
    relays
}

#[gtest]
fn each_entry_of_a_small_fleet_reports_to_every_other_one() -> Result<()> {
    let members = fleet(3, 4);

    let links = links(&members, "entry-0-00");

    let others = members.keys().filter(|vm| *vm != "entry-0-00");
    verify_that!(links, eq(&relays::Links::Mesh(others.cloned().collect())))
}

#[gtest]
fn strong_entries_of_all_data_centres_are_the_relays_of_a_large_fleet() -> Result<()> {
    let members = fleet(4, 20);

    let mesh = mesh(&members);

    let strong = members.iter().filter(|(_, member)| member.cpu_cores > 0.4);
    let strong: Vec<&ids::VmId> = strong.map(|(vm, _)| vm).collect();
    verify_that!(mesh.iter().collect::<Vec<_>>(), eq(&strong))
}

#[gtest]
fn leaf_tries_the_relays_of_its_own_data_centre_first() -> Result<()> {
    let members = fleet(4, 20);

    let relays::Links::Leaf(order) = links(&members, "entry-2-07") else {
        return fail!("expected a leaf");
    };

    let near: collections::BTreeSet<&str> = order[..2].iter().map(String::as_str).collect();
    expect_that!(
        near,
        unordered_elements_are![eq(&"entry-2-00"), eq(&"entry-2-01")]
    );
    verify_that!(order.len(), eq(members.len() - 1))
}

#[gtest]
fn leaves_of_a_data_centre_are_spread_over_its_relays() -> Result<()> {
    let members = fleet(3, 30);
    let mut leaves: collections::HashMap<ids::VmId, usize> = collections::HashMap::new();

    for vm in members.keys() {
        if let relays::Links::Leaf(order) = links(&members, vm) {
            *leaves.entry(order[0].clone()).or_default() += 1;
        }
    }

    expect_that!(leaves.len(), eq(mesh(&members).len()));
    let most = leaves.values().copied().max();
    verify_that!(most, some(le(25)))
}

#[gtest]
fn links_of_one_entry_grow_with_the_root_of_the_fleet() -> Result<()> {
    let members = fleet(6, 67);

    let mesh = mesh(&members);

    // 402 entries: the square root of their number, shared equally by the data centres.
    verify_that!(mesh.len(), eq(18))
}

#[gtest]
fn relay_that_is_silent_is_replaced_by_the_next_entry_of_its_data_centre() -> Result<()> {
    let members = fleet(4, 20);
    let silent = ["entry-1-00".to_owned()];
    let early = fixtures::START + live_entries::DEAD_AFTER / 2;
    let late = fixtures::START + live_entries::DEAD_AFTER;
    let relays_of = |now| {
        let relays = after_silence_of(&members, &silent, now);
        // A silent entry's own view of itself does not matter here.
        let others = members
            .keys()
            .filter(|vm| now == early || !silent.contains(vm));
        let near = others.filter(|vm| vm.starts_with("entry-1"));
        let near = near.filter(|vm| relays.is_relay(vm, &members, now));
        near.cloned().collect::<Vec<ids::VmId>>()
    };

    let before = relays_of(early);
    let after = relays_of(late);

    expect_that!(before, elements_are![eq("entry-1-00"), eq("entry-1-01")]);
    expect_that!(after.len(), eq(2));
    verify_that!(after, not(contains(eq("entry-1-00"))))
}

#[gtest]
fn entry_that_hears_nobody_skips_nobody() -> Result<()> {
    let members = fleet(4, 20);
    let silent: Vec<ids::VmId> = members.keys().cloned().collect();
    let late = fixtures::START + live_entries::DEAD_AFTER * 2;

    let relays = after_silence_of(&members, &silent, late);

    verify_that!(
        relays.links("entry-2-07", &members, late),
        eq(&links(&members, "entry-2-07"))
    )
}

#[gtest]
fn leaf_whose_relay_failed_tries_the_next_one_for_a_while() -> Result<()> {
    let members = fleet(4, 20);
    let now = fixtures::START;
    let mut relays = relays::Relays::default();
    let first = |relays: &relays::Relays, now| match relays.links("entry-2-07", &members, now) {
        relays::Links::Leaf(order) => order[0].clone(),
        relays::Links::Mesh(_) => String::new(),
    };
    let preferred = first(&relays, now);

    relays.record_failure(&preferred, now);
    let next = first(&relays, now);
    let later = first(&relays, now + time::Duration::from_secs(20));

    expect_that!(next, not(eq(&preferred)));
    expect_that!(next, starts_with("entry-2-0"));
    verify_that!(later, eq(&preferred))
}

#[gtest]
fn few_remaining_entries_of_a_large_fleet_form_a_mesh() -> Result<()> {
    let members = fleet(4, 20);
    let left = ["entry-0-05", "entry-1-06", "entry-3-07"];
    let silent = members.keys().filter(|vm| !left.contains(&vm.as_str()));
    let silent: Vec<ids::VmId> = silent.cloned().collect();
    let late = fixtures::START + live_entries::DEAD_AFTER;

    let relays = after_silence_of(&members, &silent, late);

    let others = ["entry-1-06", "entry-3-07"].map(str::to_owned).to_vec();
    match relays.links("entry-0-05", &members, late) {
        relays::Links::Mesh(found) => verify_that!(
            found,
            unordered_elements_are![eq(&others[0]), eq(&others[1])]
        ),
        relays::Links::Leaf(_) => fail!("expected a mesh"),
    }
}

#[gtest]
fn leaf_that_no_relay_answers_tries_the_next_entry_in_rank() -> Result<()> {
    /// How long an attempt waits for a machine without power, which does not refuse connections.
    const ATTEMPT: time::Duration = time::Duration::from_millis(800);
    let members = fleet(4, 20);
    let mesh = mesh(&members);
    let mut relays = relays::Relays::default();
    let mut now = fixtures::START;

    let mut tried = Vec::new();
    for _ in 0..=mesh.len() {
        let relays::Links::Leaf(order) = relays.links("entry-2-07", &members, now) else {
            return fail!("expected a leaf");
        };
        now += ATTEMPT;
        relays.record_failure(&order[0], now);
        tried.push(order[0].clone());
    }

    verify_that!(mesh, not(contains(eq(&tried[mesh.len()]))))
}

#[gtest]
fn of_two_entries_without_a_relay_only_one_accepts_the_other_as_its_leaf() -> Result<()> {
    let members = fleet(4, 20);
    let relays = relays::Relays::default();
    let takes =
        |own, leaf, has_relay| relays.accepts_leaf(own, leaf, has_relay, &members, fixtures::START);

    let one = takes("entry-2-07", "entry-1-05", false);
    let other = takes("entry-1-05", "entry-2-07", false);

    expect_that!(one, not(eq(other)));
    expect_that!(takes("entry-2-07", "entry-1-05", true), eq(false));
    expect_that!(takes("entry-1-05", "entry-2-07", true), eq(false));
    verify_that!(takes("entry-0-00", "entry-2-07", false), eq(true))
}

// Guards against entries whose control thread panics, and that then follow no configuration (CONFIG).
#[gtest]
fn fleet_with_fewer_than_two_entries_for_each_data_centre_is_a_mesh() -> Result<()> {
    let mut members = fleet(7, 2);
    members.remove("entry-6-01");

    let mesh = mesh(&members);

    expect_that!(members.len(), gt(relays::MAX_MESH_ENTRIES));
    verify_that!(mesh.len(), eq(members.len()))
}

proptest::proptest! {
    #![proptest_config(fixtures::property_config())]

    // Guards against fleets of any shape in which an entry has no link, or a leaf no relay (CONFIG).
    #[test]
    fn entries_of_any_fleet_have_links(
        data_centres in collection::vec(0..14_usize, 1..60),
        is_silent in collection::vec(any::<bool>(), 60),
    ) {
        let names = data_centres.iter().enumerate();
        let members: relays::Members = names
            .map(|(i, data_centre)| {
                let member = relays::Member {
                    peer_address: format!("10.0.0.{i}:80"),
                    data_centre: format!("dc-{data_centre}"),
                    cpu_cores: 0.12,
                };
                (format!("entry-{i:02}"), member)
            })
            .collect();
        let silent = members.keys().zip(&is_silent).filter(|(_, is_silent)| **is_silent);
        let silent: Vec<ids::VmId> = silent.map(|(vm, _)| vm.clone()).collect();
        let now = fixtures::START + time::Duration::from_secs(60);
        let relays = after_silence_of(&members, &silent, now);

        for own in members.keys() {
            let order = match relays.links(own, &members, now) {
                relays::Links::Mesh(others) | relays::Links::Leaf(others) => others,
            };
            proptest::prop_assert!(!order.contains(own));
            proptest::prop_assert!(!order.is_empty() || members.len() == 1 || !silent.is_empty());
        }
    }
}
