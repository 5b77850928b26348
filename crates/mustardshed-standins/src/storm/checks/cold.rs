//! Promise 3: no backend server in cold start gets more load than it can handle.

use crate::storm::{evidence, fault, verdict};

/// Maximum number of refusals listed per engine.
const SHOWN_REFUSALS: usize = 6;

/// Checks that no server fell over, or ran more than its limit while it was cold.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let records = &evidence.records;
    let engines = records.engines.iter();
    let engines = engines.map(|(name, r)| (name, r.fell_over, r.max_running_cold));
    let services = records.services.iter().map(|(name, r)| {
        let counts = &r.counts;
        (name, counts.fell_over, counts.max_running_cold)
    });
    let mut violations = Vec::new();
    let mut fell_over_in_all = 0;
    for (name, fell_over, most) in engines.chain(services) {
        let limit = evidence.cold_limits.get(name).copied().unwrap_or_default();
        fell_over_in_all += fell_over;
        if fell_over > 0 || most > limit {
            violations.push(format!(
                "{name}: fell over {fell_over} times, ran {most} while cold (limit {limit}){}",
                falls(evidence, name)
            ));
        }
    }
    verdict::Verdict::new(3, violations, format!("fell over {fell_over_in_all} times"))
}

/// Formats, for the report, when a server turned cold and which requests an engine refused
/// because it had fallen over.
fn falls(evidence: &evidence::Evidence, name: &str) -> String {
    let mut text = String::new();
    for span in evidence.spans.iter().filter(|span| span.target == name) {
        if span.kind != fault::Kind::ServerLeaving {
            text += &format!("; {:?} at {}", span.kind, span.from_ms);
        }
    }
    let records = evidence.records.engines.get(name);
    let requests = records.into_iter().flat_map(|records| &records.requests);
    let refused = requests.filter(|req| req.refused.as_deref() == Some("fell_over"));
    for req in refused.take(SHOWN_REFUSALS) {
        text += &format!("; refused {} at {}", req.id, req.at_ms);
    }
    text
}
