//! Choice among the servers of plain services.

use crate::{
    forward::{load_tracker, placement},
    ids,
};

/// Returns the server with the largest share of free slots; local ones and those without failures
/// are preferred.
///
/// # Errors
///
/// Returns an error if no server accepts work, or this entry may send none of them more for now.
pub fn least_loaded<'a>(
    load_tracker: &load_tracker::LoadTracker,
    candidates: &[placement::Candidate<'a>],
    now: ids::Timestamp,
) -> Result<&'a ids::BackendServerId, placement::NotPlaced> {
    let accepting = candidates
        .iter()
        .filter(|candidate| placement::accepts_work(load_tracker, candidate, now));
    let accepting: Vec<&placement::Candidate<'a>> = accepting.collect();
    let none_left = if accepting.is_empty() {
        placement::NotPlaced::NoServer
    } else {
        placement::NotPlaced::Full {
            retry_after: placement::FULL_RETRY_AFTER,
        }
    };
    accepting
        .into_iter()
        .filter(|candidate| candidate.has_share())
        .map(|candidate| (rank(load_tracker, candidate, now), candidate.server))
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, server)| &server.id)
        .ok_or(none_left)
}

/// Returns a rank that is lower for better servers: the share of taken slots plus penalties.
fn rank(
    load_tracker: &load_tracker::LoadTracker,
    candidate: &placement::Candidate<'_>,
    now: ids::Timestamp,
) -> f64 {
    let server = candidate.server;
    let health = load_tracker.health(&server.id);
    let taken = placement::count_f64(load_tracker.in_flight(&server.id));
    let busy = taken / f64::from(server.slots.max(1));
    let remote = if candidate.is_local { 0.0 } else { 0.1 };
    let cold = if health.is_cold(now) { 1.0 } else { 0.0 };
    busy + remote + cold + candidate.bias + health.failure_score(now)
}
