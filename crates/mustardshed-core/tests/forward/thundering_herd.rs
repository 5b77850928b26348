//! Load pattern: requests come faster than entries hear of each other's (thundering herd).

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    forward::{engine, load_tracker, placement, rendezvous},
    ids,
};
use rand::{RngExt, SeedableRng, rngs};

use crate::fixtures;

/// Entries and engines of a large fleet.
const ENTRIES: u32 = 195;
const ENGINES: usize = 135;
/// Slots of each engine.
const SLOTS: u32 = 10;
/// Rate of the burst, in requests per second.
const REQUESTS_PER_S: u32 = 430;
/// Time after which an entry hears of another one's request: three hops between data centres, a
/// frame of a relay and one of a leaf.
const HEARD_AFTER: time::Duration = time::Duration::from_millis(25);
/// Time for which a request takes its slot.
const REQUEST_TIME: time::Duration = time::Duration::from_millis(1_800);
/// Length of the burst.
const BURST: time::Duration = time::Duration::from_secs(4);

fn profile() -> engine::Profile {
    engine::Profile {
        slots: SLOTS,
        steps_per_pass: 73,
        ..fixtures::profile()
    }
}

/// A fleet in which every entry knows all events that are older than [`HEARD_AFTER`].
struct Fleet {
    servers: Vec<mustardshed_core::forward::server::Server>,
    known: load_tracker::LoadTracker,
    /// Requests that other entries have not heard of yet, with the times at which they do.
    unheard: collections::VecDeque<(ids::Timestamp, load_tracker::JobKey, load_tracker::Job)>,
    running: collections::VecDeque<(ids::Timestamp, load_tracker::JobKey, ids::BackendServerId)>,
}

impl Fleet {
    fn new() -> Self {
        let servers = fixtures::servers(ENGINES);
        let servers = servers.into_iter().map(|mut server| {
            server.slots = SLOTS;
            server
        });
        Self {
            servers: servers.collect(),
            known: load_tracker::LoadTracker::default(),
            unheard: collections::VecDeque::new(),
            running: collections::VecDeque::new(),
        }
    }

    /// Advances the time to `now`.
    fn advance(&mut self, now: ids::Timestamp) {
        while self.unheard.front().is_some_and(|(at, ..)| *at <= now) {
            let (at, key, job) = self.unheard.pop_front().expect("the queue has a front");
            self.known.start(key.clone(), job, at);
            self.known.record_first_event(&key, at);
        }
        while self.running.front().is_some_and(|(end, ..)| *end <= now) {
            let (end, key, _) = self.running.pop_front().expect("the queue has a front");
            self.known.end(&key, end);
        }
    }

    /// Lets an entry send a request; returns how many its engine then has.
    fn send(&mut self, vm: u32, number: u64, max_bias: f64, now: ids::Timestamp) -> usize {
        let vm = format!("entry-{vm}");
        let candidates = self.servers.iter().map(|server| placement::Candidate {
            server,
            is_local: true,
            bias: max_bias * rendezvous::score(&vm, &server.id),
            cold_rate_limit: None,
            share_left: None,
            is_rate_limited: false,
        });
        let candidates: Vec<placement::Candidate<'_>> = candidates.collect();
        let need = fixtures::short_request(now);
        let placed = placement::place(&self.known, &candidates, &profile(), &need, now);
        let placed = placed.expect("a placement");
        let key = load_tracker::JobKey { vm, number };
        let primary = placed.primary.clone();
        self.unheard
            .push_back((now + HEARD_AFTER, key.clone(), placed.job(&need)));
        self.running
            .push_back((now + REQUEST_TIME, key, primary.clone()));
        let on_server = self.running.iter().filter(|(.., other)| *other == primary);
        on_server.count()
    }
}

/// Simulates the burst; returns the share of requests that exceed the slots of their engine.
fn without_slot(max_bias: f64) -> f64 {
    let mut rng = rngs::StdRng::seed_from_u64(7);
    let mut fleet = Fleet::new();
    let (mut sent, mut crowded) = (0.0, 0.0);
    let mut now = fixtures::START;
    let gap = time::Duration::from_secs(1) / REQUESTS_PER_S;
    for number in 0.. {
        if now >= fixtures::START + BURST {
            break;
        }
        fleet.advance(now);
        let on_server = fleet.send(rng.random_range(0..ENTRIES), number, max_bias, now);
        sent += 1.0;
        if on_server > usize::try_from(SLOTS).expect("a small number") {
            crowded += 1.0;
        }
        now += gap.mul_f64(rng.random_range(0.0..2.0));
    }
    crowded / sent
}

#[gtest]
fn requests_find_free_slots_although_nobody_knows_of_the_latest_ones() -> Result<()> {
    let max_bias = rendezvous::PeerVisibility::ThroughRelays.max_bias();

    // 95 of 100 first events must be on time, and four in ten slots are free.
    verify_that!(without_slot(max_bias), le(0.05))
}

#[gtest]
fn entries_with_the_same_preferences_overload_engines() -> Result<()> {
    let max_bias = rendezvous::PeerVisibility::Direct.max_bias();

    verify_that!(without_slot(max_bias), ge(0.1))
}
