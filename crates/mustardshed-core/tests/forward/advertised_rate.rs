//! Load pattern: a server advertises a rate limit for all entries, each of which has more requests
//! for it than that.

use std::time;

use googletest::prelude::*;
use mustardshed_core::{forward::rate_shares, ids};

use crate::fixtures;

const SERVER: &str = "engine-00";
/// Window in which requests to such a server are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Length of the load.
const LOAD: time::Duration = time::Duration::from_secs(12);
/// Interval at which an entry has a request for the server.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Returns the times at which all entries together send requests, none knowing of the others'.
fn sent_at(entries: usize, per_s: f64) -> Vec<ids::Timestamp> {
    let members = fixtures::members(entries);
    let limit = rate_shares::Limit::advertised(per_s, &members);
    let mut sent_at = Vec::new();
    for own in members.keys() {
        let sharers = rate_shares::Sharers {
            own,
            members: &members,
            revision: 1,
        };
        let mut shares = rate_shares::RateShares::default();
        let mut now = fixtures::START;
        while now < fixtures::START + LOAD {
            if shares.left(SERVER, limit, sharers, now) > 0 {
                shares.record_sent(SERVER, now);
                sent_at.push(now);
            }
            now += REQUEST_INTERVAL;
        }
    }
    sent_at
}

/// Returns the most requests within the window.
fn most_in_window(sent_at: &[ids::Timestamp]) -> usize {
    let counts = sent_at.iter().map(|first| {
        let within = sent_at
            .iter()
            .filter(|at| **at >= *first && **at < *first + WINDOW);
        within.count()
    });
    counts.max().unwrap_or_default()
}

// Guards against entries that enforce the rate limit of a server each for itself (LIMIT).
#[gtest]
fn entries_together_keep_the_rate_limit_that_a_server_advertises() -> Result<()> {
    for entries in [1, 7, 78, 400] {
        for (per_s, allowed) in [(0.2, 6), (1.0, 11), (1.5, 14), (40.0, 245)] {
            let sent_at = sent_at(entries, per_s);

            let most = most_in_window(&sent_at);

            // The server is used as long as the load lasts.
            let used = sent_at.iter().any(|at| *at >= fixtures::START + WINDOW * 2);
            expect_that!(most, le(allowed), "{entries} entries, {per_s} a second");
            expect_that!(used, eq(true), "{entries} entries, {per_s} a second");
        }
    }
    Ok(())
}
