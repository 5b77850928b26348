//! How much a request may delay others, by how long it has waited for a slot.
//!
//! Load pattern addressed: long prompts that come in bursts, beside short requests. Engines prefill
//! the newest shard first, so that a prompt sent at once delays those before it and the requests
//! that decode beside it; a moment later the same engines are often free. A request whose objective
//! leaves time to wait is at first placed only where it costs others little, and may cost its whole
//! weight before it is refused.

use std::time;

/// Share of the objective for which a request waits for a slot at most.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Shortest such wait in which a lower cost is worth the delay.
const MIN_USEFUL_WAIT: time::Duration = time::Duration::from_millis(200);
/// Share of its weight that a request may cost others on arrival.
const INITIAL_SHARE: f64 = 0.25;

/// Returns how long a request waits for a slot at most.
#[must_use]
pub fn max_wait(objective: time::Duration) -> time::Duration {
    objective.mul_f64(MAX_WAIT_SHARE)
}

/// Returns the share of its weight that a request may cost others after waiting for `waited`.
#[must_use]
pub fn share(waited: time::Duration, objective: time::Duration) -> f64 {
    let longest = max_wait(objective);
    if longest < MIN_USEFUL_WAIT {
        return 1.0;
    }
    (waited.as_secs_f64() / longest.as_secs_f64()).clamp(INITIAL_SHARE, 1.0)
}
