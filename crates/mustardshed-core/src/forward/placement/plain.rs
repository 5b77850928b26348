//! Servers of plain services.

use crate::{
    forward::{ledger, placement},
    ids,
};

/// Returns the server with the most free places, near ones and those without failures first.
///
/// # Errors
///
/// Returns an error if no server takes work.
pub fn least_busy<'a>(
    ledger: &ledger::Ledger,
    candidates: &[placement::Candidate<'a>],
    now: ids::Timestamp,
) -> Result<&'a ids::BackendServerId, placement::NotPlaced> {
    candidates
        .iter()
        .filter(|candidate| placement::takes_work(ledger, candidate, now))
        .map(|candidate| (rank(ledger, candidate, now), candidate.server))
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, server)| &server.id)
        .ok_or(placement::NotPlaced::NoServer)
}

/// Returns how little a server is wanted: the taken part of its places, with its risks.
fn rank(ledger: &ledger::Ledger, candidate: &placement::Candidate<'_>, now: ids::Timestamp) -> f64 {
    let server = candidate.server;
    let health = ledger.health(&server.id);
    let taken = placement::count_f64(ledger.in_flight(&server.id));
    let busy = taken / f64::from(server.slots.max(1));
    let far = if candidate.is_near { 0.0 } else { 0.1 };
    let cold = if health.is_cold(now) { 1.0 } else { 0.0 };
    busy + far + cold + candidate.bias + health.failures(now)
}
