//! In a fleet too large for a full mesh, all entries find ended entries dead, and no others.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    boundary::platform,
    ids,
    process::{action, event, node},
};

const ENTRIES: u64 = 30;
const LINK_DELAY: time::Duration = time::Duration::from_millis(2);
const STEP: time::Duration = time::Duration::from_millis(1);
const WARM_UP: time::Duration = time::Duration::from_secs(10);
/// Time within which all entries consider an ended one dead: the silence after which a member is
/// dead, plus the delay of relayed facts.
const DETECTED_WITHIN: time::Duration = time::Duration::from_secs(6);

fn name(i: u64) -> ids::VmId {
    format!("e{i:02}")
}

fn identity(i: u64) -> node::Identity {
    node::Identity {
        vm: name(i),
        incarnation: 1,
        data_centre: "a".into(),
        address: format!("127.0.0.1:{}", 1000 + i),
        peer_address: format!("127.0.0.1:{}", 2000 + i),
    }
}

fn listed() -> Vec<platform::Vm> {
    (0..ENTRIES)
        .map(|i| platform::Vm {
            id: name(i),
            role: platform::VmRole::Entry,
            address: identity(i).address,
            peer_address: identity(i).peer_address,
            data_centre: "a".into(),
            state: platform::VmState::Live,
        })
        .collect()
}

/// Running entries, and messages in transit in the order of their arrival.
struct Fleet {
    nodes: collections::BTreeMap<ids::VmId, node::Node>,
    in_transit: collections::VecDeque<(ids::Timestamp, ids::VmId, event::Event)>,
    now: ids::Timestamp,
}

impl Fleet {
    /// Returns a fleet in which all entries know each other.
    fn new(seed: u64) -> Self {
        let start = time::Duration::ZERO;
        let phase = |i: u64| (i + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15 ^ seed) >> 20;
        let nodes = (0..ENTRIES).map(|i| (name(i), node::Node::new(identity(i), phase(i), start)));
        let mut fleet = Self {
            nodes: nodes.collect(),
            in_transit: collections::VecDeque::new(),
            now: start,
        };
        for i in 0..ENTRIES {
            let result = Ok(listed());
            fleet.handle(&name(i), event::Event::VmsRead { result });
        }
        fleet.advance(WARM_UP, |_| {});
        fleet
    }

    fn handle(&mut self, vm: &ids::VmId, event: event::Event) {
        let Some(node) = self.nodes.get_mut(vm) else {
            return;
        };
        for action in node.handle(event, self.now) {
            if let action::Action::Send { vm: to, message } = action {
                let event = event::Event::Peer {
                    vm: vm.clone(),
                    incarnation: 1,
                    message,
                };
                self.in_transit
                    .push_back((self.now + LINK_DELAY, to, event));
            }
        }
    }

    /// Advances the time by `duration`, and calls `check` at every multiple of a tick.
    fn advance(&mut self, duration: time::Duration, check: impl Fn(&Self)) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            while self
                .in_transit
                .front()
                .is_some_and(|(at, ..)| *at <= self.now)
            {
                if let Some((_, to, event)) = self.in_transit.pop_front() {
                    self.handle(&to, event);
                }
            }
            let step = self.now.as_millis() as u64;
            let tick = node::TICK.as_millis() as u64;
            for i in (0..ENTRIES).filter(|i| (step + i * 37).is_multiple_of(tick)) {
                self.handle(&name(i), event::Event::Tick);
            }
            if step.is_multiple_of(tick) {
                check(self);
            }
        }
    }

    /// Returns all pairs of a running entry and an entry that it does not consider live.
    fn not_live(&self) -> Vec<(&str, ids::VmId)> {
        let mut pairs = Vec::new();
        for (vm, node) in &self.nodes {
            let snapshot = node.snapshot(self.now);
            for i in 0..ENTRIES {
                let member = snapshot.members.get(&name(i));
                if !member.is_some_and(|member| member.live) {
                    pairs.push((vm.as_str(), name(i)));
                }
            }
        }
        pairs
    }
}

#[gtest]
fn entries_that_run_are_live_to_all() {
    let mut fleet = Fleet::new(1);

    fleet.advance(time::Duration::from_secs(10), |fleet| {
        assert_eq!(fleet.not_live(), [], "at {:?}", fleet.now);
    });
}

#[gtest]
fn only_ended_entries_are_found_dead_even_if_they_relayed_facts() {
    for seed in 1..6 {
        let mut fleet = Fleet::new(seed);
        let ended = [name(seed), name(seed + 9), name(seed + 17)];
        for vm in &ended {
            fleet.nodes.remove(vm);
        }

        fleet.advance(DETECTED_WITHIN, |fleet| {
            let wrong: Vec<_> = fleet
                .not_live()
                .into_iter()
                .filter(|(_, vm)| !ended.contains(vm))
                .collect();
            assert_eq!(wrong, [], "seed {seed} at {:?}", fleet.now);
        });

        let pairs = fleet.not_live().len();
        expect_that!(pairs, eq(ended.len() * fleet.nodes.len()));
    }
}
