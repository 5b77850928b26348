//! Load pattern: a server crashes while others have come back cold, and many entries send its
//! requests elsewhere within milliseconds, before they hear of each other's.

use googletest::prelude::*;
use mustardshed_core::forward::{load_tracker, placement, rate_shares, rendezvous};

use crate::fixtures;

/// Entries of the fleet.
const ENTRIES: usize = 78;
/// Engines, of which the first ones have come back cold and the others are full.
const ENGINES: usize = 16;
const COLD_ENGINES: usize = 2;
/// Slots of each engine.
const SLOTS: usize = 16;
/// Requests that each entry had at the engine that crashed.
const REQUESTS_PER_ENTRY: usize = 2;
/// Requests per second that a cold engine can take.
const COLD_RATE: f64 = 17.0;
/// Most requests that may reach a cold engine in a second: one and a half times the rate, and five.
const MAX_ARRIVALS: usize = 30;

fn fleet() -> fixtures::Fleet {
    let mut fleet = fixtures::Fleet::new(ENGINES);
    for server in &fixtures::servers(ENGINES)[COLD_ENGINES..] {
        fleet.decode_short_requests(&server.id, SLOTS, fixtures::START);
    }
    for server in &fixtures::servers(ENGINES)[..COLD_ENGINES] {
        let until = fixtures::START + std::time::Duration::from_secs(3);
        fleet.load_tracker.health_mut(&server.id).set_cold(until);
    }
    fleet
}

/// Lets one entry place its requests, without knowledge of those of the others; returns where.
fn place_all(vm: &str) -> Vec<String> {
    let members = fixtures::members(ENTRIES);
    let mut shares = rate_shares::RateShares::default();
    let mut fleet = fleet();
    let servers = fleet.servers.clone();
    let max_bias = rendezvous::PeerVisibility::ThroughRelays.max_bias();
    let mut primaries = Vec::new();
    for number in 0..REQUESTS_PER_ENTRY {
        let mut candidates = fixtures::candidates(&servers);
        for candidate in &mut candidates {
            candidate.bias = max_bias * rendezvous::score(vm, &candidate.server.id);
            candidate.cold_rate_limit = Some(COLD_RATE * 0.9);
            let id = &candidate.server.id;
            if fleet.load_tracker.health(id).is_cold(fixtures::START) {
                let sharers = rate_shares::Sharers {
                    own: vm,
                    members: &members,
                    revision: 1,
                };
                let limit = rate_shares::Limit::cold(COLD_RATE);
                candidate.share_left = Some(shares.left(id, limit, sharers, fixtures::START));
            }
        }
        let need = placement::Need {
            is_retry: true,
            ..fixtures::short_request(fixtures::START)
        };
        let tracker = &fleet.load_tracker;
        let profile = fixtures::profile();
        let placed = placement::place(tracker, &candidates, &profile, &need, fixtures::START);
        let Ok(placed) = placed else {
            break;
        };
        let key = load_tracker::JobKey {
            vm: vm.to_owned(),
            number: u64::try_from(number).expect("a small number"),
        };
        let job = placed.job(&need);
        fleet.load_tracker.start(key, job, fixtures::START);
        shares.record_sent(&placed.primary, fixtures::START);
        primaries.push(placed.primary);
    }
    primaries
}

// Guards against a flood of a cold server by entries that do not yet know of each other's requests
// (FAILBACK).
#[gtest]
fn cold_engine_is_not_flooded_by_entries_that_place_at_once() -> Result<()> {
    let entries = (0..ENTRIES).map(|i| format!("entry-{i}"));

    let primaries: Vec<String> = entries.flat_map(|vm| place_all(&vm)).collect();

    for cold in ["engine-00", "engine-01"] {
        let arrivals = primaries.iter().filter(|primary| *primary == cold).count();
        expect_that!(arrivals, all![ge(1), le(MAX_ARRIVALS)]);
    }
    Ok(())
}
