//! Fates told by entries agree with the records of stand-ins and callers.

use std::collections;

use crate::{
    load::outcome,
    storm::{evidence, note, verdict},
};

/// Time after the end of a call from which its fate must be final, in milliseconds.
const SETTLED_MS: u64 = 1_000;

/// Checks every fate that was queried at another entry.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let ran = evidence.records.ran();
    let mut violations = Vec::new();
    let mut told: collections::BTreeMap<&str, u64> = collections::BTreeMap::new();
    for fate in &evidence.fates {
        let name = match fate.status {
            0 => "no answer",
            200 => fate.outcome.as_str(),
            _ => "refused",
        };
        *told.entry(name).or_default() += 1;
        if let Some(reason) = contradiction(fate, ran.contains(fate.attempt.request_id.as_str())) {
            violations.push(format!(
                "{}: {reason}; the caller was told {} at {}, {} said {} {:?} at {}",
                fate.attempt.request_id,
                fate.attempt.outcome.name(),
                fate.attempt.ended_ms,
                evidence.vm(&fate.asked),
                fate.status,
                fate.outcome,
                fate.asked_ms,
            ));
        }
    }
    verdict::Verdict::new(11, violations, format!("fates told {told:?}"))
}

fn contradiction(fate: &note::Fate, has_run: bool) -> Option<&'static str> {
    if fate.status == 0 {
        return None;
    }
    let caller = &fate.attempt.outcome;
    let was_completed = *caller == outcome::Outcome::Completed;
    let was_not_run = fate.attempt.told() == Some("not_run");
    let is_settled = fate.asked_ms > fate.attempt.ended_ms + SETTLED_MS;
    match fate.outcome.as_str() {
        "not_run" if has_run => Some("it ran"),
        "not_run" if was_completed => Some("it completed"),
        "completed" if !has_run => Some("it did not run"),
        "completed" if was_not_run => Some("its caller was told not_run"),
        "failed" if was_completed => Some("it completed"),
        "failed" if was_not_run => Some("its caller was told not_run"),
        "running" if is_settled && is_final(caller) => Some("it has ended"),
        _ => None,
    }
}

fn is_final(caller: &outcome::Outcome) -> bool {
    match caller {
        outcome::Outcome::Completed => true,
        outcome::Outcome::Told { outcome, .. } => outcome != "running",
        _ => false,
    }
}
