//! Promise 5: a caller receives the complete response to its own request.

use crate::{
    load::outcome,
    storm::{checks::deadlines, evidence, note, verdict},
};

/// Checks that no response differs from the oracle's, and that none ends early as if complete.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let mut violations = Vec::new();
    let mut whole = 0_u64;
    let mut gangs = 0_u64;
    for completion in &evidence.completions {
        for attempt in &completion.attempts {
            match attempt.outcome {
                outcome::Outcome::Completed => {
                    whole += 1;
                    gangs += u64::from(completion.sort == note::Sort::Gang);
                }
                outcome::Outcome::Wrong => {
                    violations.push(deadlines::describe(evidence, attempt));
                }
                _ => {}
            }
        }
    }
    let detail = format!("whole answers {whole}, {gangs} of them by gangs");
    verdict::Verdict::new(5, violations, detail)
}
