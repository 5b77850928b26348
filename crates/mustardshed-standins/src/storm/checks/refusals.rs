//! Promise 6: a refusal that says `not_run` is true.

use std::collections;

use crate::storm::{checks::deadlines, evidence, note, verdict};

/// Checks that no request that was told `not_run` was accepted by an engine or executed by a service.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let ran = evidence.records.ran();
    let mut violations = Vec::new();
    let mut told = 0_u64;
    for attempt in evidence.attempts().filter(|a| a.told() == Some("not_run")) {
        told += 1;
        if ran.contains(attempt.request_id.as_str()) {
            violations.push(format!("ran: {}", deadlines::describe(evidence, attempt)));
        }
    }
    let executed: collections::BTreeSet<&str> = evidence
        .records
        .executions()
        .map(|(_, execution)| execution.body_sha256.as_str())
        .collect();
    let mut after_unknown = 0_u64;
    for charge in &evidence.charges {
        if !executed.contains(charge.body_sha256.as_str()) || !ended_not_run(charge) {
            continue;
        }
        if charge.attempts.iter().all(is_not_run) {
            let last = charge.attempts.last();
            let last = last.map(|last| deadlines::describe(evidence, last));
            violations.push(format!("charge executed: {}", last.unwrap_or_default()));
        } else {
            after_unknown += 1;
        }
    }
    let detail = format!(
        "told not_run {told}; apart: {after_unknown} charges whose last call did not run \
         and whose earlier one, of another fate, did"
    );
    verdict::Verdict::new(6, violations, detail)
}

fn ended_not_run(charge: &note::Charge) -> bool {
    charge.attempts.last().is_some_and(is_not_run)
}

fn is_not_run(attempt: &crate::storm::attempt::Attempt) -> bool {
    attempt.told() == Some("not_run") || !attempt.is_connected()
}
