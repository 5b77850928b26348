//! Which requests an entry still accepts during its planned stop.
//!
//! Load pattern addressed: clients keep their connections and send requests until the process is
//! gone. A request is accepted only if its response is complete by the end of the stop; any other is
//! refused at once, before it is sent to a server, so that its client can repeat it elsewhere.
//!
//! Streams may take longer than their clients wait for the first event, so that their length is
//! estimated. All entries of a small fleet may be stopped within seconds of one another, and clients
//! have nowhere else to go; a short stream is then accepted for as long as it fits.
//!
//! Long prompts that come later delay the streams of their server. All entries therefore know how
//! much more work the server of an accepted stream may take on, and place what exceeds it elsewhere.

use std::time;

use crate::{
    forward::{engine, load_tracker, placement},
    ids,
};

/// Time from the beginning of a planned stop for which clients may still use a list of entries that
/// includes this one: the longest time to live of such lists.
pub const ADVERTISED_FOR: time::Duration = time::Duration::from_millis(3_000);
/// Multiple of a request's decoding time on an idle server that it takes at most beside others.
const BUSY_FACTOR: f64 = 1.6;

/// Limit that the planned stop of an entry sets to a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limit {
    /// Time by which the stream must be complete.
    pub ends_at: ids::Timestamp,
    /// Limit on the length of the response.
    pub max_output_tokens: ids::Tokens,
}

impl Limit {
    /// Returns how much engine time a server has left for later requests if the stream begins there
    /// after `estimate`; zero if the stream would not be complete in time. `load` is the work that the
    /// server already has.
    #[must_use]
    pub fn spare(
        &self,
        profile: &engine::Profile,
        need: &placement::Need,
        load: &load_tracker::Load<'_>,
        slowdown: f64,
        estimate: time::Duration,
        now: ids::Timestamp,
    ) -> time::Duration {
        let tokens = self.max_output_tokens;
        let own = engine::tokens_f64(tokens) * profile.step_ms
            + load_tracker::Work::decoding(tokens, need.prompt_tokens + tokens).ms(profile);
        let others = load.primary_jobs.iter().map(|job| {
            let context = job.prompt_tokens.saturating_sub(job.held_tokens());
            let context = context + job.output_tokens;
            load_tracker::Work::decoding(job.output_tokens.min(tokens), context).ms(profile)
        });
        let decoding = engine::millis((own + others.sum::<f64>()) * slowdown);
        self.ends_at
            .saturating_sub(now)
            .saturating_sub(estimate + decoding)
    }
}

/// Returns whether an entry accepts a request that is not a stream and is given up after `longest`,
/// given the time `left` until the end of its stop.
#[must_use]
pub fn accepts_call(left: time::Duration, longest: time::Duration) -> bool {
    longest < left
}

/// Returns whether an entry accepts a stream that lasts at most `longest`, given the time `since`
/// the beginning of its stop and the time `left` until its end.
#[must_use]
pub fn accepts_stream(
    since: time::Duration,
    left: time::Duration,
    has_others: bool,
    longest: time::Duration,
) -> bool {
    longest < left && (since < ADVERTISED_FOR || !has_others)
}

/// Returns the longest time from a stream's request to its end, provided its first event is on time
/// or never comes, on a server that is slower than its profile by the factor `slowdown`.
#[must_use]
pub fn max_duration(
    profile: &engine::Profile,
    need: &placement::Need,
    answer_limit: ids::Tokens,
    slowdown: f64,
) -> time::Duration {
    let prefill = profile.prefill_ms(need.prompt_tokens) * slowdown;
    let steps = engine::tokens_f64(answer_limit) * profile.step_ms * slowdown;
    engine::millis(need.objective_ms.max(prefill) + steps * BUSY_FACTOR)
}
