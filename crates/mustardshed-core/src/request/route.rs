//! Choice of a backend server by its estimated time to first token.
//!
//! A decision looks at one snapshot. Servers that may not be given the work are excluded with a
//! reason; a few of the others are drawn at random and the one with the least estimate is chosen,
//! so that entries with the same snapshot do not all choose the same server.

pub mod decision;
pub mod estimate;
pub mod exclusion;
pub mod work;

use rand::{RngExt, SeedableRng};

use crate::{ids, process::snapshot};

/// Servers of which the best is chosen.
pub const CHOICES: usize = 5;

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
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(work.seed);
    let mut drawn: Vec<&snapshot::ServerView> = Vec::with_capacity(CHOICES);
    let mut eligible = 0_u32;
    let mut refused = decision::NoRoute::default();
    for server in snapshot.servers.values().filter(|s| work.wants_kind(s)) {
        match exclusion::check(snapshot, work, server) {
            Some(reason) => refused.add(&server.id, reason),
            None => {
                eligible += 1;
                draw(&mut drawn, server, eligible, &mut rng);
            }
        }
    }
    add_affine(&mut drawn, snapshot, work);
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
            eligible,
            work,
        )),
        None => Err(refused),
    }
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
        .filter(|server| work.wants_kind(server))
        .map(|server| decision::Candidate {
            server: server.id.clone(),
            verdict: match exclusion::check(snapshot, work, server) {
                Some(reason) => Err(reason),
                None => Ok(estimate::estimate(snapshot, work, server, now)),
            },
        })
        .collect()
}

/// Keeps a uniform sample of at most [`CHOICES`] of the servers seen so far.
fn draw<'a>(
    drawn: &mut Vec<&'a snapshot::ServerView>,
    server: &'a snapshot::ServerView,
    seen: u32,
    rng: &mut rand_pcg::Pcg64Mcg,
) {
    if drawn.len() < CHOICES {
        drawn.push(server);
        return;
    }
    let slot = rng.random_range(0..seen as usize);
    if let Some(kept) = drawn.get_mut(slot) {
        *kept = server;
    }
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
    if known || !work.wants_kind(server) || exclusion::check(snapshot, work, server).is_some() {
        return;
    }
    drawn.push(server);
}
