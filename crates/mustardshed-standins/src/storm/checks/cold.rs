//! Promise 3: no backend server in cold start is given more than it bears.

use crate::storm::{evidence, verdict};

/// Checks that nothing fell over or ran more than its limit while it was cold.
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

/// Returns when an engine refused because it had fallen over, for a person.
fn falls(evidence: &evidence::Evidence, name: &str) -> String {
    let Some(records) = evidence.records.engines.get(name) else {
        return String::new();
    };
    let refused = records.requests.iter();
    let refused = refused.filter(|req| req.refused.as_deref() == Some("fell_over"));
    let times: Vec<String> = refused
        .map(|req| format!("{} {}", req.at_ms, req.id))
        .take(4)
        .collect();
    format!(", first refused so: {}", times.join(", "))
}
