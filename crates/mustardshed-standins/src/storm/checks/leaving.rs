//! Promise 8: a backend server that is leaving gets no new work.

use crate::storm::{evidence, fault, timeline, verdict};

/// Grace period after the listing in which work may still arrive, in milliseconds.
const ALLOWED_MS: u64 = 5_000;

/// Checks that no request reached a server after the grace period of its listing as leaving.
///
/// Listings hidden by a platform outage are counted separately: no entry could see them.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let spans = evidence.spans.iter();
    let leavings = spans.filter(|span| span.kind == fault::Kind::ServerLeaving);
    let mut violations = Vec::new();
    let (mut checked, mut hidden) = (0_u64, 0_u64);
    for leaving in leavings {
        checked += 1;
        let late = late_arrivals(evidence, leaving);
        if is_hidden(evidence, leaving) {
            hidden += late.len() as u64;
        } else {
            violations.extend(late);
        }
    }
    let detail = format!(
        "listings {checked}; apart: {hidden} arrivals while an outage of the platform hid the listing"
    );
    verdict::Verdict::new(8, violations, detail)
}

fn is_hidden(evidence: &evidence::Evidence, leaving: &timeline::Span) -> bool {
    evidence.spans.iter().any(|span| {
        let hides = span.kind == fault::Kind::PlatformOutage;
        hides && span.overlaps(leaving.from_ms, leaving.from_ms + ALLOWED_MS)
    })
}

fn late_arrivals(evidence: &evidence::Evidence, leaving: &timeline::Span) -> Vec<String> {
    let name = &leaving.target;
    let is_late = |at_ms: u64| at_ms > leaving.from_ms + ALLOWED_MS && at_ms < leaving.until_ms;
    let mut late = Vec::new();
    if let Some(records) = evidence.records.engines.get(name) {
        for req in records.requests.iter().filter(|req| is_late(req.at_ms)) {
            late.push(describe(name, &req.id, req.at_ms, leaving));
        }
    }
    if let Some(records) = evidence.records.services.get(name) {
        for execution in records.executions.iter().filter(|e| is_late(e.at_ms)) {
            let id = &execution.request_id;
            late.push(describe(name, id, execution.at_ms, leaving));
        }
    }
    late
}

fn describe(name: &str, id: &str, at_ms: u64, leaving: &timeline::Span) -> String {
    let after = at_ms - leaving.from_ms;
    format!("{id} reached {name} at {at_ms}, {after} ms after it was listed as leaving")
}
