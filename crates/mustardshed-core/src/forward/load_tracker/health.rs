//! Observed health of one server.

use std::time;

use crate::ids;

/// Ejection time after a first failure.
const BASE_EJECTION_TIME: time::Duration = time::Duration::from_millis(400);
/// Longest ejection time of a server that fails repeatedly.
const MAX_EJECTION_TIME: time::Duration = time::Duration::from_secs(3);
/// Time after which the weight of failures is halved.
const FAILURE_HALF_LIFE: time::Duration = time::Duration::from_secs(4);
/// Upper limit of the slowdown factor.
const MAX_SLOWDOWN: f64 = 8.0;

/// Health of a server, judged by its responses and by their absence.
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
    /// Records that a server could not be reached or stopped responding, and ejects it for a while;
    /// returns for how long, unless it was ejected already.
    pub fn record_unreachable(&mut self, now: ids::Timestamp) -> Option<time::Duration> {
        if now < self.ejected_until {
            return None;
        }
        self.ejection_time = (self.ejection_time * 2).clamp(BASE_EJECTION_TIME, MAX_EJECTION_TIME);
        self.ejected_until = now + self.ejection_time;
        self.record_failure(now);
        Some(self.ejection_time)
    }

    /// Records a failed response.
    pub fn record_failure(&mut self, now: ids::Timestamp) {
        self.failures = self.failure_score(now) + 1.0;
        self.failed_at = now;
    }

    /// Records a complete response.
    pub const fn record_success(&mut self) {
        self.ejection_time = time::Duration::ZERO;
    }

    /// Records that the server is cold until a time.
    pub fn set_cold(&mut self, until: ids::Timestamp) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Sets the factor by which the server is slower than its profile.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        if slowdown.is_finite() {
            self.slowdown = slowdown.clamp(1.0, MAX_SLOWDOWN);
        }
    }

    /// Returns the factor by which the server is slower than its profile.
    #[must_use]
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns whether the server is ejected: it is sent nothing.
    #[must_use]
    pub fn is_ejected(&self, now: ids::Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the server has failed and not responded since; it then gets one request at a
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

    /// Returns how much longer the server is cold; zero if it is warm.
    #[must_use]
    pub const fn cold_left(&self, now: ids::Timestamp) -> time::Duration {
        self.cold_until.saturating_sub(now)
    }

    /// Returns the weight of recent failures.
    #[must_use]
    pub fn failure_score(&self, now: ids::Timestamp) -> f64 {
        let age = now.saturating_sub(self.failed_at).as_secs_f64();
        self.failures * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}
