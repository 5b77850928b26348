//! Choice of a backend server by its estimated time to first token.
//!
//! A decision looks at one snapshot. Servers that may not be given the work are excluded with a
//! reason; a few of the others are drawn at random and the one with the least estimate is chosen,
//! so that entries with the same snapshot do not all choose the same server. Of a large fleet only
//! a part is looked at, unless too few of that part may be given the work.

pub mod decision;
pub mod estimate;
pub mod exclusion;
pub mod work;

use rand::{RngExt, SeedableRng};

use crate::{ids, process::snapshot};

/// Servers of which the best is chosen.
pub const CHOICES: usize = 5;

/// Servers of a large fleet that are looked at before all are.
const PROBES: usize = 32;

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
    let (mut drawn, eligible) = draw(snapshot, work, &mut rng);
    if !drawn.is_empty() {
        // The first of equal estimates is chosen, and a server's place depends on its name.
        let first = rng.random_range(0..drawn.len());
        drawn.rotate_left(first);
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
        None => Err(decision::NoRoute::of(explain(snapshot, work, now))),
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

/// Draws at most [`CHOICES`] servers that may be given the work; returns how many were found too.
fn draw<'a>(
    snapshot: &'a snapshot::Snapshot,
    work: &work::Work<'_>,
    rng: &mut rand_pcg::Pcg64Mcg,
) -> (Vec<&'a snapshot::ServerView>, u32) {
    let step = snapshot.servers.len() / PROBES;
    if step > 1 {
        let first = rng.random_range(0..step);
        let probes = snapshot.servers.values().skip(first).step_by(step);
        let (drawn, eligible) = draw_from(probes, snapshot, work, rng);
        if drawn.len() == CHOICES {
            return (drawn, eligible);
        }
    }
    draw_from(snapshot.servers.values(), snapshot, work, rng)
}

/// Draws a uniform sample of the servers that may be given the work.
fn draw_from<'a>(
    servers: impl Iterator<Item = &'a snapshot::ServerView>,
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    rng: &mut rand_pcg::Pcg64Mcg,
) -> (Vec<&'a snapshot::ServerView>, u32) {
    let mut drawn: Vec<&snapshot::ServerView> = Vec::with_capacity(CHOICES + 1);
    let mut eligible = 0;
    let usable = servers
        .filter(|server| work.wants_kind(server))
        .filter(|server| exclusion::check(snapshot, work, server).is_none());
    for server in usable {
        eligible += 1;
        if drawn.len() < CHOICES {
            drawn.push(server);
            continue;
        }
        let slot = rng.random_range(0..eligible as usize);
        if let Some(kept) = drawn.get_mut(slot) {
            *kept = server;
        }
    }
    (drawn, eligible)
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
