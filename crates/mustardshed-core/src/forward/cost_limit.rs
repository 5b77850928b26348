//! What a request may cost others, by how long it has waited for a place.
//!
//! Load pattern that this answers: long prompts that come in bursts, beside drafts. Engines read the
//! newest part first, so that a prompt sent at once delays those before it and the writers beside
//! it; a moment later the same engines are often free. A request whose objective leaves time for it
//! goes at first only where it costs little, and pays up to its whole weight before it is refused.

use std::time;

/// Part of its objective for which a request waits for a place at most.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Shortest such time in which waiting for a lower price is worth the delay.
const MIN_USEFUL_WAIT: time::Duration = time::Duration::from_millis(200);
/// Part of its weight that a request pays when it comes.
const INITIAL_SHARE: f64 = 0.25;

/// Returns how long a request waits for a place at most.
#[must_use]
pub fn max_wait(objective: time::Duration) -> time::Duration {
    objective.mul_f64(MAX_WAIT_SHARE)
}

/// Returns the part of its weight that a request may cost after it has waited for `waited`.
#[must_use]
pub fn share(waited: time::Duration, objective: time::Duration) -> f64 {
    let longest = max_wait(objective);
    if longest < MIN_USEFUL_WAIT {
        return 1.0;
    }
    (waited.as_secs_f64() / longest.as_secs_f64()).clamp(INITIAL_SHARE, 1.0)
}
