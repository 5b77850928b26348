//! Promise 7: a call that may not be repeated runs at most once.

use std::collections;

use crate::{
    load::outcome,
    storm::{checks::deadlines, evidence, note, verdict},
};

/// Counts executions per key, and checks that repeats got the response of the first call.
pub fn check(evidence: &evidence::Evidence) -> verdict::Verdict {
    let mut executions: collections::BTreeMap<&str, Vec<String>> = collections::BTreeMap::new();
    for (server, execution) in evidence.records.executions() {
        let of_body = executions.entry(&execution.body_sha256).or_default();
        of_body.push(format!("{server} {}", execution.request_id));
    }
    let mut violations = Vec::new();
    let (mut completed, mut repeated) = (0_u64, 0_u64);
    for charge in &evidence.charges {
        let of_body = executions.get(charge.body_sha256.as_str());
        let count = of_body.map_or(0, Vec::len);
        if count > 1 {
            violations.push(format!("executed {count} times: {of_body:?}"));
        }
        let Some(first) = first_answer(charge) else {
            continue;
        };
        completed += 1;
        if count != 1 {
            let id = deadlines::describe(evidence, first);
            violations.push(format!("completed and executed {count} times: {id}"));
        }
        for repeat in &charge.repeats {
            repeated += 1;
            let is_answered = repeat.outcome == outcome::Outcome::Completed;
            if is_answered && repeat.answer != first.answer {
                violations.push(format!(
                    "a repeat got another answer: {:?}, {:?}",
                    first.answer, repeat.answer
                ));
            }
        }
    }
    let detail = format!(
        "charges {}, keys executed {}, completed {completed}, repeated {repeated}",
        evidence.charges.len(),
        executions.len(),
    );
    verdict::Verdict::new(7, violations, detail)
}

fn first_answer(charge: &note::Charge) -> Option<&crate::storm::attempt::Attempt> {
    let mut attempts = charge.attempts.iter();
    attempts.find(|attempt| attempt.outcome == outcome::Outcome::Completed)
}
