//! When a leaf reads from the platform itself, although a relay tells it what the platform holds.
//!
//! Load pattern that this answers: the platform fails all relays at once, so that the knowledge of
//! every leaf of the fleet gets old in the same moment. Leaves then ask one after the other, each soon
//! enough for what must be known in time, and repeat so seldom that the fleet as a whole stays within
//! a fixed rate, however many entries it has.

use std::time;

use crate::ids;

/// Age of what a relay tells at which a leaf asks the platform. Relays' watches end in turn, so that
/// it usually is about as old as one watch and a beat; servers that leave must be left within 3 s in
/// fleets that have leaves.
const STALE_AFTER: time::Duration = time::Duration::from_millis(2_200);
/// First calls a second that all leaves make together: a twentieth of the reads that platforms of
/// large fleets allow.
const FIRST_READS_PER_S: f64 = 300.0;
/// Calls a second of all leaves together while the platform does not answer them.
const RETRIES_PER_S: f64 = 50.0;
/// Shortest wait after a call that failed.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Own reads of one leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct FallbackReads {
    next_at: Option<ids::Timestamp>,
}

impl FallbackReads {
    /// Returns whether the leaf should ask now, by the age of what its relay tells.
    ///
    /// `draw` is drawn anew from 0 to 1 for each question.
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

    /// Returns whether what the relay tells was young enough when the leaf last looked.
    #[must_use]
    pub const fn is_relay_fresh(&self) -> bool {
        self.next_at.is_none()
    }

    /// Takes that the platform did not answer.
    pub fn record_failure(&mut self, members: usize, draw: f64, now: ids::Timestamp) {
        /// Part of the mean wait by which waits differ, so that leaves do not ask in step.
        const JITTER: f64 = 0.3;
        let mean = spread_time(members, RETRIES_PER_S).max(MIN_RETRY_DELAY);
        self.next_at = Some(now + mean.mul_f64(1.0 - JITTER + 2.0 * JITTER * draw));
    }
}

/// Returns the time that a call of every entry takes, at so many a second.
fn spread_time(members: usize, calls_per_s: f64) -> time::Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    time::Duration::from_secs_f64(f64::from(members) / calls_per_s)
}
