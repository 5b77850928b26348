//! Choice of a backend server by its estimated time to first token.
//!
//! A decision uses one snapshot. Servers that may not be given the work are excluded with a reason;
//! a few of the others are sampled at random and the one with the lowest estimate is chosen, so
//! that entries with the same snapshot do not all choose the same server.

mod baseline;
pub mod decision;
pub mod estimate;
pub mod exclusion;
pub mod recent;
pub mod work;

use mustardshed_config::settings;
use rand::{RngExt, SeedableRng};

use crate::{ids, process::snapshot};

/// Number of servers to sample, of which the best is chosen.
pub const SAMPLE_SIZE: usize = 5;

/// A server that may be given the work.
struct Eligible<'a> {
    server: &'a snapshot::ServerView,
    estimate: estimate::Estimate,
}

/// Chooses a backend server for the work.
///
/// # Errors
///
/// Returns the reason that excludes each server of the right kind, if all are excluded.
pub fn decide(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    now: ids::Timestamp,
) -> Result<decision::Decision, decision::NoRoute> {
    let mut excluded = decision::NoRoute::default();
    let mut sampled = match baseline::choose(snapshot, work) {
        Some(server) => vec![server],
        None => sample(snapshot, work, &mut excluded),
    };
    if work.routing == settings::Routing::Estimate {
        add_prefix_holder(&mut sampled, snapshot, work);
    }
    let sampled_count = sampled.len();
    let best = sampled
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
            sampled_count,
            excluded,
            work,
        )),
        None => Err(excluded),
    }
}

/// Returns whether any server of the right kind is excluded for a transient reason.
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

/// Samples [`SAMPLE_SIZE`] servers uniformly from those that may be given the work, or all if there
/// are fewer.
///
/// Servers are checked in a random order until enough are found, so that a decision does not
/// check every server of a large fleet.
fn sample<'a>(
    snapshot: &'a snapshot::Snapshot,
    work: &work::Work<'_>,
    excluded: &mut decision::NoRoute,
) -> Vec<&'a snapshot::ServerView> {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(work.seed);
    let mut servers: Vec<_> = snapshot
        .servers
        .values()
        .filter(|server| work.matches_kind(server))
        .collect();
    let mut sampled = Vec::with_capacity(SAMPLE_SIZE + 1);
    for i in 0..servers.len() {
        if sampled.len() == SAMPLE_SIZE {
            break;
        }
        let chosen = rng.random_range(i..servers.len());
        servers.swap(i, chosen);
        match exclusion::check(snapshot, work, servers[i]) {
            Some(reason) => excluded.add(&servers[i].id, reason),
            None => sampled.push(servers[i]),
        }
    }
    sampled
}

/// Adds the server that probably has the prompt's prefix cached, if it may be given the work.
fn add_prefix_holder<'a>(
    sampled: &mut Vec<&'a snapshot::ServerView>,
    snapshot: &'a snapshot::Snapshot,
    work: &work::Work<'_>,
) {
    let Some(prefix) = &work.cached_prefix else {
        return;
    };
    let Some(server) = snapshot.servers.get(&prefix.server) else {
        return;
    };
    let is_sampled = sampled.iter().any(|other| other.id == server.id);
    if is_sampled
        || !work.matches_kind(server)
        || exclusion::check(snapshot, work, server).is_some()
    {
        return;
    }
    sampled.push(server);
}
