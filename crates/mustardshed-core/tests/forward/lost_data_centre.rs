//! Load pattern: the engines of a data centre fail at once, and nobody has tried them since.

use googletest::prelude::*;
use mustardshed_core::forward::attempts;

use crate::fixtures;

/// Engines of the fleet, of which the first third has failed.
const ENGINES: usize = 30;
const GONE: usize = 10;

fn is_gone(server: &str) -> bool {
    fixtures::servers(GONE).iter().any(|gone| gone.id == server)
}

/// Sends a request until an engine accepts it; returns the number of failed attempts, or none if
/// the request was given up.
fn send(fleet: &mut fixtures::Fleet) -> Option<u32> {
    let mut attempts = attempts::Attempts::default();
    while attempts.may_retry() {
        let need = fixtures::long_request(150_000, fixtures::START);
        let placed = fleet.place(&need, fixtures::START).ok()?;
        if !is_gone(&placed.primary) {
            fleet.start(placed.job(&need), fixtures::START);
            return Some(attempts.count());
        }
        attempts.record_not_run(false);
        let health = fleet.load_tracker.health_mut(&placed.primary);
        health.record_unreachable(fixtures::START);
    }
    None
}

#[gtest]
fn long_requests_are_served_by_the_remaining_engines() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(ENGINES);

    let sent: Vec<Option<u32>> = (0..4).map(|_| send(&mut fleet)).collect();

    verify_that!(sent, each(some(anything())))
}

#[gtest]
fn request_that_full_servers_reject_is_given_up() -> Result<()> {
    let mut attempts = attempts::Attempts::default();
    for _ in 0..3 {
        attempts.record_not_run(true);
    }

    verify_that!(attempts.may_retry(), eq(false))
}
