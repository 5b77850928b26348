//! Reads of leaves while the knowledge of all relays is stale.

use std::time;

use googletest::prelude::*;
use mustardshed_core::forward::fallback_reads;
use rand::{RngExt, SeedableRng, rngs};

/// Entries of two large fleets, and of the largest fleet of the design.
const FLEETS: [usize; 3] = [78, 195, 400];
/// Interval between checks of a leaf.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Simulates a fleet for `play`. The age of its knowledge grows from zero, and the platform fails
/// every call. Returns the times of all calls.
fn calls(members: usize, play: time::Duration) -> Vec<time::Duration> {
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let mut calls = Vec::new();
    for _ in 0..members {
        let mut reads = fallback_reads::FallbackReads::default();
        let mut now = CHECK_INTERVAL.mul_f64(rng.random());
        while now < play {
            if reads.is_due(Some(now), members, rng.random(), now) {
                calls.push(now);
                reads.record_failure(members, rng.random(), now);
            }
            now += CHECK_INTERVAL;
        }
    }
    calls
}

#[gtest]
fn leaf_with_a_fresh_relay_never_asks() -> Result<()> {
    let mut reads = fallback_reads::FallbackReads::default();
    let usual = Some(time::Duration::from_millis(1_900));

    let asked = (0..1_000).any(|s| reads.is_due(usual, 195, 0.0, time::Duration::from_secs(s)));

    verify_that!(asked, eq(false))
}

#[gtest]
fn all_leaves_ask_within_two_seconds_of_their_knowledge_getting_stale() -> Result<()> {
    for members in FLEETS {
        // One check finds the knowledge stale, a later one that the leaf's turn has come.
        let until = time::Duration::from_millis(2_200 + 1_340) + CHECK_INTERVAL * 2;

        let asked = calls(members, until);

        expect_that!(asked.len(), ge(members), "{members}");
        let first = asked.iter().min().unwrap();
        expect_that!(*first, ge(time::Duration::from_millis(2_200)), "{members}");
    }
    Ok(())
}

#[gtest]
fn outage_costs_a_fixed_rate_of_calls_whatever_the_size() -> Result<()> {
    for members in FLEETS {
        let calls = calls(members, time::Duration::from_secs(30));

        for from in (3..30).map(time::Duration::from_secs) {
            let within = calls
                .iter()
                .filter(|at| **at >= from && **at < from + time::Duration::from_secs(1));
            // All first calls, or the retries with their jitter.
            let most = if from < time::Duration::from_secs(4) {
                300
            } else {
                150
            };
            expect_that!(within.count(), le(most), "{members} from {from:?}");
        }
    }
    Ok(())
}

#[gtest]
fn leaf_whose_relay_is_fresh_again_starts_anew() -> Result<()> {
    let mut reads = fallback_reads::FallbackReads::default();
    let old = Some(time::Duration::from_secs(3));
    reads.record_failure(195, 0.5, time::Duration::ZERO);

    let fresh = reads.is_due(Some(time::Duration::ZERO), 195, 0.0, time::Duration::ZERO);
    let stale = reads.is_due(old, 195, 0.0, time::Duration::from_secs(1));

    verify_that!((fresh, stale), eq((false, true)))
}
