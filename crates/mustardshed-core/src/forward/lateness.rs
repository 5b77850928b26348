//! What is lost by being late.

/// Part of a request's worth that is lost if its answer is late; the rest goes if its caller leaves.
const LOST_BY_LATENESS: f64 = 0.75;
/// Ratio of a time to its limit below which nothing is late.
const SURELY_ON_TIME: f64 = 0.65;
/// Ratio above which everything is late.
const SURELY_LATE: f64 = 1.1;

/// Returns how likely something is late that is expected to take `ratio` of its time.
#[must_use]
pub fn likelihood(ratio: f64) -> f64 {
    ((ratio - SURELY_ON_TIME) / (SURELY_LATE - SURELY_ON_TIME)).clamp(0.0, 1.0)
}

/// Returns the part of a stream's worth that is expected to be lost if its first event takes
/// `after_ms`, for an objective and a patience in milliseconds.
#[must_use]
pub fn loss(after_ms: f64, objective_ms: f64, patience_ms: f64) -> f64 {
    let late = likelihood(after_ms / objective_ms.max(1.0));
    let left = likelihood(after_ms / patience_ms.max(1.0));
    LOST_BY_LATENESS * late + (1.0 - LOST_BY_LATENESS) * left
}

/// Returns the part of a stream's worth that is expected to be lost by a pause, where `gap_ms` is
/// the longest one that is on time.
#[must_use]
pub fn loss_by_pause(pause_ms: f64, gap_ms: f64) -> f64 {
    /// Multiple of that after which callers leave.
    const PATIENCE: f64 = 8.0;
    let ratio = pause_ms / gap_ms.max(1.0);
    LOST_BY_LATENESS * likelihood(ratio) + (1.0 - LOST_BY_LATENESS) * likelihood(ratio / PATIENCE)
}
