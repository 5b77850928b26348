//! Expected loss from late responses.

/// Share of a request's weight that is lost if its response is late; the rest is lost if its client
/// gives up.
const LATE_LOSS: f64 = 0.75;
/// Ratio of a time to its limit up to which the response is certainly on time.
const ON_TIME_RATIO: f64 = 0.65;
/// Ratio from which it is certainly late.
const LATE_RATIO: f64 = 1.1;

/// Returns the probability of lateness for an expected time of `ratio` times the limit.
#[must_use]
pub fn late_probability(ratio: f64) -> f64 {
    ((ratio - ON_TIME_RATIO) / (LATE_RATIO - ON_TIME_RATIO)).clamp(0.0, 1.0)
}

/// Returns the share of a stream's weight that is expected to be lost if its first event takes
/// `after_ms`, given its objective and its client's timeout in milliseconds.
#[must_use]
pub fn expected_loss(after_ms: f64, objective_ms: f64, timeout_ms: f64) -> f64 {
    let late = late_probability(after_ms / objective_ms.max(1.0));
    let left = late_probability(after_ms / timeout_ms.max(1.0));
    LATE_LOSS * late + (1.0 - LATE_LOSS) * left
}

/// Returns the share of a stream's weight that is expected to be lost to a gap between events,
/// given the longest gap that is on time.
#[must_use]
pub fn expected_gap_loss(gap_ms: f64, gap_objective_ms: f64) -> f64 {
    /// Multiple of the objective after which clients give up.
    const GIVE_UP_FACTOR: f64 = 8.0;
    let ratio = gap_ms / gap_objective_ms.max(1.0);
    LATE_LOSS * late_probability(ratio)
        + (1.0 - LATE_LOSS) * late_probability(ratio / GIVE_UP_FACTOR)
}
