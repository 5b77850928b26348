//! Promise 10: an accepted configuration is in force within seconds and never reverts.

use crate::storm::{entry_log, evidence, fault, records, verdict};

/// Time within which an accepted change must be in force, in milliseconds.
const ALLOWED_MS: u64 = 5_000;

/// Checks which generations were in force, and when, in every run of every entry.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let mut violations = Vec::new();
    for run in &evidence.runs {
        for pair in run.in_force.windows(2) {
            if pair[1].generation <= pair[0].generation {
                let (from, to) = (pair[0].generation, pair[1].generation);
                violations.push(format!("{}: generation {to} after {from}", run.vm));
            }
        }
    }
    let vms: std::collections::BTreeSet<&str> =
        evidence.runs.iter().map(|run| run.vm.as_str()).collect();
    let (mut looked_at, mut worst_ms, mut down) = (0_u64, 0_i64, 0_u64);
    for change in &evidence.records.accepted {
        for vm in &vms {
            let Some(from_ms) = up_from(evidence, vm, change) else {
                down += 1;
                continue;
            };
            looked_at += 1;
            match first_in_force(evidence, vm, change, from_ms) {
                Some(took_ms) if took_ms <= ALLOWED_MS as i64 => worst_ms = worst_ms.max(took_ms),
                took => violations.push(format!(
                    "{vm}: generation {} in force {took:?} ms after it was accepted at {}",
                    change.generation, change.at_ms
                )),
            }
        }
    }
    let detail = format!(
        "accepted changes {}, looked at {looked_at} entries, slowest {worst_ms} ms; \
         apart: {down} at entries that were killed, frozen or ending in those 5 s",
        evidence.records.accepted.len()
    );
    verdict::Verdict::new(10, violations, detail)
}

/// Returns the time from which an entry had to have a change in force, if it ran from then on for
/// as long as it was allowed.
fn up_from(evidence: &evidence::Evidence, vm: &str, change: &records::Accepted) -> Option<u64> {
    let until_ms = change.at_ms + ALLOWED_MS;
    let is_down = evidence.spans.iter().any(|span| {
        let strikes = matches!(
            span.kind,
            fault::Kind::EntryKilled | fault::Kind::EntryFrozen | fault::Kind::EntryStopped
        );
        strikes && span.target == vm && span.overlaps(change.at_ms, until_ms)
    });
    let is_over = until_ms > evidence.storm_ms.1;
    (!is_down && !is_over && change.at_ms >= evidence.storm_ms.0).then_some(change.at_ms)
}

/// Returns how long after `from_ms` this generation or a newer one came into force.
fn first_in_force(
    evidence: &evidence::Evidence,
    vm: &str,
    change: &records::Accepted,
    from_ms: u64,
) -> Option<i64> {
    let runs = evidence.runs.iter().filter(|run| run.vm == vm);
    let seen = runs.flat_map(|run| &run.in_force);
    let seen = seen.filter(|seen| seen.generation >= change.generation);
    seen.map(|seen| entry_log::since(from_ms, seen.day_ms))
        .min()
}
