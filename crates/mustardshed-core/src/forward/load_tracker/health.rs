//! What was seen of one server's health.

use std::time;

use crate::ids;

/// First time for which a server that failed is left alone.
const BASE_EJECTION_TIME: time::Duration = time::Duration::from_millis(400);
/// Longest time for which a server that fails again and again is left alone.
const MAX_EJECTION_TIME: time::Duration = time::Duration::from_secs(3);
/// Time after which half of the weight of failures is forgotten.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// Largest factor by which a server is taken to be slower than its profile.
const MAX_SLOWDOWN: f64 = 8.0;

/// Health of a server, from its answers and from their absence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    ejected_until: ids::Timestamp,
    ejection_time: time::Duration,
    failures: f64,
    failed_at: ids::Timestamp,
    cold_until: ids::Timestamp,
    slowdown: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ejected_until: time::Duration::ZERO,
            ejection_time: time::Duration::ZERO,
            failures: 0.0,
            failed_at: time::Duration::ZERO,
            cold_until: time::Duration::ZERO,
            slowdown: 1.0,
        }
    }
}

impl Health {
    /// Takes that a server could not be reached, or fell silent.
    pub fn record_unreachable(&mut self, now: ids::Timestamp) {
        if now < self.ejected_until {
            return;
        }
        self.ejection_time = (self.ejection_time * 2).clamp(BASE_EJECTION_TIME, MAX_EJECTION_TIME);
        self.ejected_until = now + self.ejection_time;
        self.record_failure(now);
    }

    /// Takes an answer that failed.
    pub fn record_failure(&mut self, now: ids::Timestamp) {
        self.failures = self.failure_score(now) + 1.0;
        self.failed_at = now;
    }

    /// Takes a whole answer.
    pub const fn record_success(&mut self) {
        self.ejection_time = time::Duration::ZERO;
    }

    /// Takes that the server is cold for a while.
    pub fn set_cold(&mut self, until: ids::Timestamp) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Takes a new factor by which the server is slower than its profile.
    pub fn set_slowdown(&mut self, pace: f64) {
        if pace.is_finite() {
            self.slowdown = pace.clamp(1.0, MAX_SLOWDOWN);
        }
    }

    /// Returns the factor by which the server is slower than its profile.
    #[must_use]
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns whether the server is to be left alone.
    #[must_use]
    pub fn is_ejected(&self, now: ids::Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the server has failed and not answered since; it then gets one request at a
    /// time.
    #[must_use]
    pub const fn is_on_probation(&self) -> bool {
        !self.ejection_time.is_zero()
    }

    /// Returns whether the server is cold.
    #[must_use]
    pub fn is_cold(&self, now: ids::Timestamp) -> bool {
        now < self.cold_until
    }

    /// Returns the weight of recent failures.
    #[must_use]
    pub fn failure_score(&self, now: ids::Timestamp) -> f64 {
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}
