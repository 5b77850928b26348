//! Promise 1: every admitted request is answered by its deadline.

use crate::{
    load::outcome,
    storm::{attempt, evidence, verdict},
};

/// Tolerance for processing after the deadline, in milliseconds.
const PROCESSING_MS: u64 = 100;

/// Checks that calls to entries that were neither killed nor suspended were answered in time.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let mut violations = Vec::new();
    let (mut checked, mut excluded, mut worst_ms) = (0_u64, 0_u64, 0_u64);
    for attempt in evidence.attempts().filter(|attempt| attempt.is_connected()) {
        if evidence.was_entry_struck(attempt) {
            excluded += 1;
            continue;
        }
        checked += 1;
        worst_ms = worst_ms.max(attempt.ended_ms.saturating_sub(attempt.due_ms()));
        if !is_final(&attempt.outcome) {
            violations.push(format!("no final answer: {}", describe(evidence, attempt)));
        } else if attempt.ended_ms > attempt.due_ms() + PROCESSING_MS {
            violations.push(format!("late: {}", describe(evidence, attempt)));
        }
    }
    let detail = format!(
        "calls {checked}, worst lateness {worst_ms} ms; \
         apart: {excluded} at entries that were killed or frozen meanwhile"
    );
    verdict::Verdict::new(1, violations, detail)
}

const fn is_final(outcome: &outcome::Outcome) -> bool {
    !matches!(
        outcome,
        outcome::Outcome::Cut | outcome::Outcome::NeverTold | outcome::Outcome::NoConnection
    )
}

/// Formats a call for the report.
pub fn describe(evidence: &evidence::Evidence, attempt: &attempt::Attempt) -> String {
    format!(
        "{} at {} sent {} took {} ms of {} ms: {}",
        attempt.request_id,
        evidence.vm(&attempt.entry),
        attempt.sent_ms,
        attempt.ended_ms.saturating_sub(attempt.sent_ms),
        attempt.deadline.as_millis(),
        attempt.outcome.name(),
    )
}
