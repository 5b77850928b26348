//! Which streams an entry still takes during its planned stop.
//!
//! Load pattern that this answers: all entries of a small fleet are stopped within seconds of one
//! another, so that callers have nowhere else to go. A short stream that surely ends before the entry
//! does is then served; one that might be cut off is refused at once.

use std::time;

use crate::{
    forward::{engine, placement},
    ids,
};

/// Time from the beginning of a planned stop for which callers may still use an answer that names
/// the entry: the longest time to live of such answers.
pub const ADVERTISED_FOR: time::Duration = time::Duration::from_millis(3_000);
/// Multiple of the time for which a server writes alone that a stream takes at most beside others.
const BUSY_FACTOR: f64 = 1.6;

/// Returns whether an entry takes a stream that lasts for `longest`, `since` the beginning of its
/// stop and with the time `left` until its end.
#[must_use]
pub fn accepts_stream(
    since: time::Duration,
    left: time::Duration,
    has_others: bool,
    longest: time::Duration,
) -> bool {
    since < ADVERTISED_FOR || (!has_others && longest < left)
}

/// Returns the time that a stream takes at most, from its request to its end, if its first event is
/// on time or not at all.
#[must_use]
pub fn max_duration(
    profile: &engine::Profile,
    need: &placement::Need,
    answer_limit: ids::Tokens,
) -> time::Duration {
    let steps = engine::tokens_f64(answer_limit) * profile.step_ms;
    engine::millis(
        need.objective_ms
            .max(profile.prefill_ms(need.prompt_tokens))
            + steps * BUSY_FACTOR,
    )
}
