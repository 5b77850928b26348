//! When a leaf reads from the platform itself instead of relying on its relay.
//!
//! Load pattern addressed: the platform fails all relays at once, so that the knowledge of every
//! leaf in the fleet gets stale at the same moment. Leaves then ask the platform at staggered
//! times, each soon enough for what must be known in time, and retry so rarely that the fleet as a
//! whole stays within a fixed rate, whatever its size.

use std::time;

use crate::ids;

/// Age of a relay's knowledge at which a leaf asks the platform. Relays' watches end in turn, so
/// that this age is usually about one watch plus one heartbeat; fleets with leaves must stop using
/// servers that leave within 3 s.
const STALE_AFTER: time::Duration = time::Duration::from_millis(2_200);
/// First reads per second of all leaves together: a twentieth of the reads that platforms of large
/// fleets allow.
const FIRST_READS_PER_S: f64 = 300.0;
/// Reads per second of all leaves together while the platform does not answer them.
const RETRIES_PER_S: f64 = 50.0;
/// Shortest wait after a read that failed.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Schedule of one leaf's fallback reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct FallbackReads {
    next_at: Option<ids::Timestamp>,
}

impl FallbackReads {
    /// Returns whether the leaf should ask the platform now, given the age of its relay's
    /// knowledge.
    ///
    /// `draw` is a new random number from 0 to 1 for each call.
    pub fn is_due(
        &mut self,
        age: Option<time::Duration>,
        members: usize,
        draw: f64,
        now: ids::Timestamp,
    ) -> bool {
        if age.is_some_and(|age| age < STALE_AFTER) {
            self.next_at = None;
            return false;
        }
        let first_at = || now + spread_time(members, FIRST_READS_PER_S).mul_f64(draw);
        now >= *self.next_at.get_or_insert_with(first_at)
    }

    /// Returns whether the relay's knowledge was fresh at the last check.
    #[must_use]
    pub const fn is_relay_fresh(&self) -> bool {
        self.next_at.is_none()
    }

    /// Records that the platform did not answer.
    pub fn record_failure(&mut self, members: usize, draw: f64, now: ids::Timestamp) {
        /// Share of the mean wait by which waits vary, so that leaves do not ask in step.
        const JITTER: f64 = 0.3;
        let mean = spread_time(members, RETRIES_PER_S).max(MIN_RETRY_DELAY);
        self.next_at = Some(now + mean.mul_f64(1.0 - JITTER + 2.0 * JITTER * draw));
    }
}

/// Returns the time in which all entries make one call each at the given rate.
fn spread_time(members: usize, calls_per_s: f64) -> time::Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    time::Duration::from_secs_f64(f64::from(members) / calls_per_s)
}
