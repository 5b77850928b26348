//! Choice of a backend server by its estimated time to first token.
//!
//! A decision looks at one snapshot. Servers that may not be given the work are excluded with a
//! reason; a few of the others are drawn at random and the one with the least estimate is chosen,
//! so that entries with the same snapshot do not all choose the same server.

mod baseline;
pub mod decision;
pub mod estimate;
pub mod exclusion;
pub mod recent;
pub mod work;

use mustardshed_config::settings;
use rand::{RngExt, SeedableRng};

use crate::{ids, process::snapshot};

/// Servers of which the best is chosen.
pub const SAMPLE_SIZE: usize = 5;

/// A server that may be given the work.
struct Eligible<'a> {
    server: &'a snapshot::ServerView,
    estimate: estimate::Estimate,
}

/// Decides where work goes.
///
/// # Errors
///
/// Returns why each server of the right kind is excluded if none is left.
pub fn decide(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    now: ids::Timestamp,
) -> Result<decision::Decision, decision::NoRoute> {
    let mut refused = decision::NoRoute::default();
    let mut drawn = match baseline::choose(snapshot, work) {
        Some(server) => vec![server],
        None => draw(snapshot, work, &mut refused),
    };
    if work.routing == settings::Routing::Estimate {
        add_affine(&mut drawn, snapshot, work);
    }
    let drawn_count = drawn.len();
    let best = drawn
        .into_iter()
        .map(|server| Eligible {
            server,
            estimate: estimate::estimate(snapshot, work, server, now),
        })
        .min_by_key(|eligible| eligible.estimate.total());
    match best {
        Some(best) => Ok(decision::Decision::new(
            best.server,
            best.estimate,
            drawn_count,
            refused,
            work,
        )),
        None => Err(refused),
    }
}

/// Returns whether a server of the right kind is excluded for a reason that passes within seconds.
pub fn is_transient(snapshot: &snapshot::Snapshot, work: &work::Work<'_>) -> bool {
    snapshot
        .servers
        .values()
        .filter(|server| work.matches_kind(server))
        .filter_map(|server| exclusion::check(snapshot, work, server))
        .any(exclusion::Exclusion::is_transient)
}

/// Lists every server of the right kind with its estimate or the reason that excludes it.
pub fn explain(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    now: ids::Timestamp,
) -> Vec<decision::Candidate> {
    snapshot
        .servers
        .values()
        .filter(|server| work.matches_kind(server))
        .map(|server| decision::Candidate {
            server: server.id.clone(),
            verdict: match exclusion::check(snapshot, work, server) {
                Some(reason) => Err(reason),
                None => Ok(estimate::estimate(snapshot, work, server, now)),
            },
        })
        .collect()
}

/// Draws [`SAMPLE_SIZE`] servers uniformly from those that may be given the work, or all if they are fewer.
///
/// Servers are looked at in a random order until enough are found, so that a decision does not
/// check every server of a large fleet.
fn draw<'a>(
    snapshot: &'a snapshot::Snapshot,
    work: &work::Work<'_>,
    refused: &mut decision::NoRoute,
) -> Vec<&'a snapshot::ServerView> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(work.seed);
    let mut servers: Vec<_> = snapshot
        .servers
        .values()
        .filter(|server| work.matches_kind(server))
        .collect();
    let mut drawn = Vec::with_capacity(SAMPLE_SIZE + 1);
    for i in 0..servers.len() {
        if drawn.len() == SAMPLE_SIZE {
            break;
        }
        let chosen = rng.random_range(i..servers.len());
        servers.swap(i, chosen);
        match exclusion::check(snapshot, work, servers[i]) {
            Some(reason) => refused.add(&servers[i].id, reason),
            None => drawn.push(servers[i]),
        }
    }
    drawn
}

/// Adds the server that is believed to hold the prompt's prefix, if it may be given the work.
fn add_affine<'a>(
    drawn: &mut Vec<&'a snapshot::ServerView>,
    snapshot: &'a snapshot::Snapshot,
    work: &work::Work<'_>,
) {
    let Some(prefix) = &work.cached_prefix else {
        return;
    };
    let Some(server) = snapshot.servers.get(&prefix.server) else {
        return;
    };
    let known = drawn.iter().any(|other| other.id == server.id);
    if known || !work.matches_kind(server) || exclusion::check(snapshot, work, server).is_some() {
        return;
    }
    drawn.push(server);
}
