//! What is lost by being late.

/// Part of a request's worth that is lost if its answer is late; the rest goes if its caller leaves.
const LATE_LOSS: f64 = 0.75;
/// Ratio of a time to its limit below which nothing is late.
const ON_TIME_RATIO: f64 = 0.65;
/// Ratio above which everything is late.
const LATE_RATIO: f64 = 1.1;

/// Returns how likely something is late that is expected to take `ratio` of its time.
#[must_use]
pub fn late_probability(ratio: f64) -> f64 {
    ((ratio - ON_TIME_RATIO) / (LATE_RATIO - ON_TIME_RATIO)).clamp(0.0, 1.0)
}

/// Returns the part of a stream's worth that is expected to be lost if its first event takes
/// `after_ms`, for an objective and a patience in milliseconds.
#[must_use]
pub fn expected_loss(after_ms: f64, objective_ms: f64, patience_ms: f64) -> f64 {
    let late = late_probability(after_ms / objective_ms.max(1.0));
    let left = late_probability(after_ms / patience_ms.max(1.0));
    LATE_LOSS * late + (1.0 - LATE_LOSS) * left
}

/// Returns the part of a stream's worth that is expected to be lost by a pause, where `gap_ms` is
/// the longest one that is on time.
#[must_use]
pub fn expected_gap_loss(pause_ms: f64, gap_ms: f64) -> f64 {
    /// Multiple of that after which callers leave.
    const PATIENCE: f64 = 8.0;
    let ratio = pause_ms / gap_ms.max(1.0);
    LATE_LOSS * late_probability(ratio) + (1.0 - LATE_LOSS) * late_probability(ratio / PATIENCE)
}
