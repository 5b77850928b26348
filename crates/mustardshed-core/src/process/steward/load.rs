//! Polls one server's load.

use crate::{boundary::backend_server, ids};

use super::POLL_INTERVAL;

/// Consecutive failed reads after which a server counts as unreachable.
const UNREACHABLE_AFTER: u32 = 2;
/// Poll intervals after which a read that did not end is given up.
const READ_TIMEOUT_POLLS: u32 = 4;

/// Latest load report of one server, and the state of its reads.
#[derive(Debug, Default)]
pub(super) struct LoadPoller {
    report: Option<backend_server::LoadReport>,
    measured_at: ids::Timestamp,
    begun_at: Option<ids::Timestamp>,
    is_reading: bool,
    failures: u32,
}

impl LoadPoller {
    /// Returns whether a read must start now, and counts it as started.
    pub(super) fn begin_read(&mut self, now: ids::Timestamp) -> bool {
        let wait = if self.is_reading {
            POLL_INTERVAL * READ_TIMEOUT_POLLS
        } else {
            POLL_INTERVAL
        };
        if self.begun_at.is_some_and(|at| now < at + wait) {
            return false;
        }
        self.begun_at = Some(now);
        self.is_reading = true;
        true
    }

    /// Makes the next read due at once.
    pub(super) const fn poll_now(&mut self) {
        if !self.is_reading {
            self.begun_at = None;
        }
    }

    /// Stores a report; returns false if an earlier one was measured later.
    pub(super) fn on_report(
        &mut self,
        measured_at: ids::Timestamp,
        report: &backend_server::LoadReport,
    ) -> bool {
        self.is_reading = false;
        self.failures = 0;
        if measured_at < self.measured_at {
            return false;
        }
        self.measured_at = measured_at;
        self.report = Some(report.clone());
        true
    }

    /// Records a failed read; `Unreachable` alone counts as [`UNREACHABLE_AFTER`] failures.
    pub(super) fn on_failure(&mut self, e: &backend_server::BackendServerError) {
        self.is_reading = false;
        let is_certain = matches!(e, backend_server::BackendServerError::Unreachable(_));
        self.failures = if is_certain {
            self.failures.max(UNREACHABLE_AFTER)
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// Returns whether the server answers; true until reads failed.
    pub(super) const fn is_reachable(&self) -> bool {
        self.failures < UNREACHABLE_AFTER
    }

    /// Returns whether reads have shown that the server answers, or that it does not.
    pub(super) const fn is_known(&self) -> bool {
        self.report.is_some() || !self.is_reachable()
    }

    /// Returns the latest report, also of a server that no longer answers.
    pub(super) const fn report(&self) -> Option<&backend_server::LoadReport> {
        self.report.as_ref()
    }

    /// Returns the latest report if the server answers.
    pub(super) fn report_if_reachable(&self) -> Option<&backend_server::LoadReport> {
        self.report.as_ref().filter(|_| self.is_reachable())
    }
}
