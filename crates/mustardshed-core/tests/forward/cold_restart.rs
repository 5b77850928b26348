//! Load pattern: the engines of a data centre come back cold during a burst of short requests.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::placement;

use crate::fixtures;

/// Maximum number of requests per second sent to a cold engine.
const COLD_RATE: f64 = 3.0;

/// Four warm engines without a free slot, and two cold ones.
fn fleet() -> fixtures::Fleet {
    let mut fleet = fixtures::Fleet::new(6);
    for server in ["engine-00", "engine-01", "engine-02", "engine-03"] {
        fleet.decode_short_requests(server, 16, fixtures::START);
    }
    for server in ["engine-04", "engine-05"] {
        let until = fixtures::START + time::Duration::from_secs(3);
        fleet.load_tracker.health_mut(server).set_cold(until);
    }
    fleet
}

/// Sends short requests that arrive at once until one is refused; returns the engines that got
/// them.
fn send_all(fleet: &mut fixtures::Fleet) -> Vec<String> {
    let mut primaries = Vec::new();
    loop {
        let need = fixtures::short_request(fixtures::START);
        let servers = fleet.servers.clone();
        let mut candidates = fixtures::candidates(&servers);
        for candidate in &mut candidates {
            candidate.cold_rate_limit = Some(COLD_RATE);
        }
        let profile = fixtures::profile();
        let now = fixtures::START;
        let placed = placement::place(&fleet.load_tracker, &candidates, &profile, &need, now);
        let Ok(placed) = placed else {
            return primaries;
        };
        primaries.push(placed.primary.clone());
        fleet.start(placed.job(&need), now);
    }
}

#[gtest]
fn short_requests_go_to_cold_engines_rather_than_being_refused() -> Result<()> {
    let mut fleet = fleet();

    let primaries = send_all(&mut fleet);

    expect_that!(primaries, contains(eq("engine-04")));
    verify_that!(primaries, contains(eq("engine-05")))
}

#[gtest]
fn cold_engines_get_no_more_requests_than_their_limit() -> Result<()> {
    let mut fleet = fleet();

    let primaries = send_all(&mut fleet);

    for cold in ["engine-04", "engine-05"] {
        let sent = primaries.iter().filter(|primary| *primary == cold).count();
        expect_that!(sent, le(3));
    }
    Ok(())
}
