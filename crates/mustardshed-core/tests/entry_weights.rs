//! Entry weights: which entries callers get, with which weights, and how busy levels spread.

use std::{collections, sync, time};

use googletest::prelude::*;
use mustardshed_config::text;
use mustardshed_core::{
    ids,
    process::{action, busy, entry_weights, event, message, node, snapshot},
};

fn at_ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn member(vm: &str, data_centre: &str) -> snapshot::MemberView {
    snapshot::MemberView {
        vm: vm.to_owned(),
        incarnation: 1,
        address: format!("{vm}:1"),
        data_centre: data_centre.to_owned(),
        leaving: false,
        live: true,
        generation: 1,
        busy: 0,
    }
}

fn data_centre(name: &str) -> (ids::DataCentreId, text::DataCentre) {
    let region = if name.starts_with('a') {
        "east"
    } else {
        "west"
    };
    let data_centre = text::DataCentre {
        name: name.to_owned(),
        region: region.to_owned(),
    };
    (name.to_owned(), data_centre)
}

/// Returns the snapshot of an entry in `a1`: two regions with two data centres each and two entries
/// in each data centre; the other data centres are 0.5 ms and 40 ms away.
fn snapshot() -> snapshot::Snapshot {
    let names = ["a1", "a2", "b1", "b2"];
    let members = names.iter().flat_map(|name| {
        let first = member(&format!("{name}-1"), name);
        let second = member(&format!("{name}-2"), name);
        [first, second]
    });
    let text = text::Text {
        data_centres: names.into_iter().map(data_centre).collect(),
        ..text::Text::default()
    };
    let identity = node::Identity {
        vm: "a1-1".into(),
        incarnation: 1,
        data_centre: "a1".into(),
        address: "a1-1:1".into(),
        peer_address: "a1-1:2".into(),
    };
    let node = node::Node::new(identity, 1, at_ms(0));
    let mut snapshot = snapshot::Snapshot::clone(&node.snapshot(at_ms(0)));
    snapshot.text = sync::Arc::new(text);
    snapshot.members = members.map(|m| (m.vm.clone(), m)).collect();
    snapshot.latencies = [
        ("a2".to_owned(), time::Duration::from_micros(500)),
        ("b1".to_owned(), at_ms(40)),
        ("b2".to_owned(), at_ms(40)),
    ]
    .into();
    snapshot
}

fn weights(
    snapshot: &snapshot::Snapshot,
    origin: Option<&str>,
) -> collections::BTreeMap<String, u32> {
    entry_weights::weigh(snapshot, origin)
        .into_iter()
        .map(|entry| (entry.member.vm.clone(), entry.weight))
        .collect()
}

fn set_busy(snapshot: &mut snapshot::Snapshot, vm: &str, level: ids::BusyLevel) {
    if let Some(member) = snapshot.members.get_mut(vm) {
        member.busy = level;
    }
}

#[gtest]
fn equally_near_and_busy_entries_weigh_the_same() {
    let mut snapshot = snapshot();
    snapshot.latencies.clear();
    for member in snapshot.members.values_mut() {
        member.busy = 4;
    }

    let weights: collections::BTreeSet<u32> = weights(&snapshot, None).into_values().collect();

    expect_that!(weights.len(), eq(1));
}

#[gtest]
fn entries_of_the_callers_region_weigh_most_and_others_are_still_listed() {
    let snapshot = snapshot();

    let own_region = weights(&snapshot, None);
    let other_region = weights(&snapshot, Some("b2"));
    let unknown = weights(&snapshot, Some("nowhere"));

    expect_that!([own_region["a1-2"], own_region["a2-1"]], each(eq(100)));
    expect_that!([own_region["b1-1"], own_region["b2-2"]], each(eq(1)));
    expect_that!([other_region["b1-1"], other_region["b2-2"]], each(eq(100)));
    expect_that!([other_region["a1-1"], other_region["a2-1"]], each(eq(1)));
    expect_that!(unknown, eq(&own_region));
}

#[gtest]
fn weight_halves_with_each_doubling_of_the_delay() {
    let mut snapshot = snapshot();
    let mut weight_at = |us: u64| {
        let delay = time::Duration::from_micros(us);
        snapshot.latencies.insert("a2".to_owned(), delay);
        weights(&snapshot, None)["a2-1"]
    };

    let seen = [999, 1_000, 1_999, 2_000, 4_000].map(&mut weight_at);

    expect_that!(seen, eq([100, 50, 50, 25, 12]));
}

#[gtest]
fn busy_entries_weigh_less_and_full_ones_least() {
    let mut snapshot = snapshot();
    set_busy(&mut snapshot, "a1-1", 5);
    set_busy(&mut snapshot, "a1-2", busy::MAX_LEVEL);

    let weights = weights(&snapshot, None);

    expect_that!(weights["a1-1"], eq(50));
    expect_that!(weights["a1-2"], eq(entry_weights::MIN_WEIGHT));
    expect_that!(weights["a2-1"], eq(entry_weights::MAX_WEIGHT));
}

#[gtest]
fn leaving_dead_and_out_of_service_entries_are_not_listed() {
    let mut snapshot = snapshot();
    snapshot.members.get_mut("a1-1").unwrap().leaving = true;
    snapshot.members.get_mut("a1-2").unwrap().live = false;
    snapshot.data_centres_out = ["a2".to_owned(), "b1".to_owned()].into();

    let in_service: Vec<String> = weights(&snapshot, None).into_keys().collect();
    snapshot.data_centres_out.insert("b2".to_owned());
    let all_out: Vec<String> = weights(&snapshot, None).into_keys().collect();

    expect_that!(in_service, elements_are![eq("b2-1"), eq("b2-2")]);
    expect_that!(all_out.len(), eq(6));
}

#[gtest]
fn level_is_published_when_it_changes_and_again_while_not_idle() {
    let mut busy = busy::Busy::default();
    let mut due_at = |requests, ms| {
        busy.observe(requests, 100);
        busy.take_due(at_ms(ms))
    };

    let loads = [0, 9, 10, 9, 5, 4, 100, 101, 95, 94, 0, 0];
    let published = loads.map(|requests| due_at(requests, 1_000));
    let idle = due_at(0, 60_000);
    let loaded = [30, 30].map(|requests| due_at(requests, 61_000));
    let republished = due_at(30, 81_000);

    let expected = [
        None,
        None,
        Some(1),
        None,
        None,
        Some(0),
        Some(10),
        None,
        None,
        Some(9),
        Some(0),
    ];
    expect_that!(published[..11], eq(&expected[..]));
    expect_that!(published[11], none());
    expect_that!(idle, none());
    expect_that!(loaded, eq([Some(3), None]));
    expect_that!(republished, some(eq(3)));
}

/// Returns two nodes of one data centre that know each other since 100 ms.
fn node_pair() -> [node::Node; 2] {
    let identity = |vm: &str, other: &str| node::Identity {
        vm: vm.into(),
        incarnation: 1,
        data_centre: "a1".into(),
        address: format!("{vm}:1"),
        peer_address: other.into(),
    };
    let node = |vm: &str| node::Node::new(identity(vm, "peer"), 1, at_ms(0));
    let mut nodes = [node("e1"), node("e2")];
    for (index, vm) in ["e2", "e1"].into_iter().enumerate() {
        let body = message::FactBody::Alive {
            address: format!("{vm}:1"),
            peer_address: "peer".into(),
            data_centre: "a1".into(),
            leaving: false,
            generation: 0,
        };
        receive_fact(&mut nodes[index], vm, 1, body, at_ms(100));
    }
    nodes
}

fn receive_fact(
    node: &mut node::Node,
    author: &str,
    version: u64,
    body: message::FactBody,
    now: ids::Timestamp,
) {
    let fact = message::Fact {
        author: author.into(),
        incarnation: 1,
        version,
        age: time::Duration::ZERO,
        body,
    };
    let heartbeat = message::Heartbeat {
        sent_at: now,
        generation: 0,
        facts: vec![fact],
    };
    let event = event::Event::Peer {
        vm: author.into(),
        incarnation: 1,
        message: message::Message::Heartbeat(heartbeat),
    };
    node.handle(event, now);
}

/// Runs a node for a second; returns the busy levels that its heartbeats publish.
fn published_levels(node: &mut node::Node, from: ids::Timestamp) -> Vec<ids::BusyLevel> {
    let ticks = (1..=10).map(|tick| from + tick * node::TICK);
    let actions = ticks.flat_map(|now| node.handle(event::Event::Tick, now));
    actions
        .filter_map(|action| match action {
            action::Action::Send {
                message: message::Message::Heartbeat(heartbeat),
                ..
            } => Some(heartbeat.facts),
            _ => None,
        })
        .flatten()
        .filter_map(|fact| match fact.body {
            message::FactBody::Busy { level } => Some(level),
            _ => None,
        })
        .collect()
}

#[gtest]
fn neighbours_receive_the_level_once_and_use_it_in_weights() {
    let [mut busy, mut other] = node_pair();
    published_levels(&mut busy, at_ms(100));
    let in_flight = event::Event::InFlight {
        in_flight: 70,
        max_in_flight: 100,
    };

    busy.handle(in_flight, at_ms(1_100));
    let published = published_levels(&mut busy, at_ms(1_100));
    let body = message::FactBody::Busy { level: 7 };
    receive_fact(&mut other, "e1", 9, body, at_ms(1_100));
    other.handle(event::Event::Tick, at_ms(1_200));

    let own_view = weights(&busy.snapshot(at_ms(2_100)), None);
    let view = weights(&other.snapshot(at_ms(1_200)), None);
    expect_that!(published, elements_are![eq(&7)]);
    expect_that!(own_view["e1"], eq(30));
    expect_that!((view["e1"], view["e2"]), eq((30, 100)));
}

#[gtest]
fn level_of_an_earlier_incarnation_is_ignored() {
    let [_, mut other] = node_pair();
    receive_fact(
        &mut other,
        "e1",
        9,
        message::FactBody::Busy { level: 7 },
        at_ms(200),
    );
    let restarted = message::Fact {
        author: "e1".into(),
        incarnation: 2,
        version: 1,
        age: time::Duration::ZERO,
        body: message::FactBody::Alive {
            address: "e1:1".into(),
            peer_address: "peer".into(),
            data_centre: "a1".into(),
            leaving: false,
            generation: 0,
        },
    };
    let heartbeat = message::Heartbeat {
        sent_at: at_ms(300),
        generation: 0,
        facts: vec![restarted],
    };

    let event = event::Event::Peer {
        vm: "e1".into(),
        incarnation: 2,
        message: message::Message::Heartbeat(heartbeat),
    };
    other.handle(event, at_ms(300));

    expect_that!(weights(&other.snapshot(at_ms(300)), None)["e1"], eq(100));
}
