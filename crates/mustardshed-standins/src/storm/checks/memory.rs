//! Promise 2: no engine leaks memory.

use crate::storm::{evidence, verdict};

/// Checks that no engine holds or reserves any tokens after the rest period.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let engines = &evidence.records.engines;
    let violations = engines
        .iter()
        .filter(|(_, records)| records.used_tokens + records.reserved_tokens > 0)
        .map(|(name, records)| {
            format!(
                "{name}: {} tokens used, {} of them reserved",
                records.used_tokens, records.reserved_tokens
            )
        })
        .collect();
    verdict::Verdict::new(2, violations, format!("engines {}", engines.len()))
}
