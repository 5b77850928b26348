//! Promise 9: a planned stop cuts off no request.

use std::time;

use crate::{
    load::outcome,
    storm::{attempt, checks::deadlines, evidence, stop, verdict},
};

/// Time for which callers may use a list of entries.
const TIME_TO_LIVE: time::Duration = time::Duration::from_secs(10);
/// Code with which a stopping entry refuses new requests.
const LEAVING: &str = "entry_leaving";

/// Checks that entries that were asked to stop exited with zero and cut off no call.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let mut violations = Vec::new();
    let mut carried = 0_u64;
    for stop in &evidence.stops {
        if stop.exit_code != Some(0) {
            violations.push(format!("{} exited with {:?}", stop.vm, stop.exit_code));
        }
        for attempt in evidence
            .attempts()
            .filter(|a| is_through(evidence, a, stop))
        {
            carried += 1;
            if is_cut_off(attempt) {
                violations.push(format!(
                    "told to end at {}: {}",
                    stop.told_ms,
                    deadlines::describe(evidence, attempt)
                ));
            }
        }
    }
    let detail = format!(
        "planned stops {}, calls through entries that were ending {carried}",
        evidence.stops.len()
    );
    verdict::Verdict::new(9, violations, detail)
}

fn is_through(
    evidence: &evidence::Evidence,
    attempt: &attempt::Attempt,
    stop: &stop::Stop,
) -> bool {
    evidence.vm(&attempt.entry) == stop.vm
        && attempt.ended_ms >= stop.told_ms
        && attempt.sent_ms <= stop.ended_ms
}

/// Returns whether a call was cut off, or was refused while its entry list was still valid.
fn is_cut_off(attempt: &attempt::Attempt) -> bool {
    let is_list_valid = attempt.list_age < TIME_TO_LIVE;
    match &attempt.outcome {
        outcome::Outcome::Cut | outcome::Outcome::NeverTold => true,
        outcome::Outcome::NoConnection => is_list_valid,
        outcome::Outcome::Told { code, .. } => is_list_valid && code == LEAVING,
        _ => false,
    }
}
