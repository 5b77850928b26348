//! Reads of one server's load.

use crate::{boundary::backend_server, ids};

use super::POLL_INTERVAL;

/// Failed reads in a row after which a server does not answer.
const UNREACHABLE_AFTER: u32 = 2;
/// Reads after which one that did not end is given up.
const READ_TIMEOUT_POLLS: u32 = 4;

/// What is known of one server's load.
#[derive(Debug, Default)]
pub(super) struct LoadPoller {
    report: Option<backend_server::LoadReport>,
    measured_at: ids::Timestamp,
    begun_at: Option<ids::Timestamp>,
    is_reading: bool,
    failures: u32,
}

impl LoadPoller {
    /// Returns whether a read is to begin now, and notes it.
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

    /// Lets the next read begin at once.
    pub(super) const fn poll_now(&mut self) {
        if !self.is_reading {
            self.begun_at = None;
        }
    }

    /// Takes a report; returns false if its figures are older than those known.
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

    /// Notes a failed read.
    pub(super) fn on_failure(&mut self, e: &backend_server::BackendServerError) {
        self.is_reading = false;
        let is_certain = matches!(e, backend_server::BackendServerError::Unreachable(_));
        self.failures = if is_certain {
            self.failures.max(UNREACHABLE_AFTER)
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// Returns whether the server answers, or was not asked yet.
    pub(super) const fn is_reachable(&self) -> bool {
        self.failures < UNREACHABLE_AFTER
    }

    /// Returns whether a read has told that the server answers, or that it does not.
    pub(super) const fn is_known(&self) -> bool {
        self.report.is_some() || !self.is_reachable()
    }

    /// Returns the latest report.
    pub(super) const fn report(&self) -> Option<&backend_server::LoadReport> {
        self.report.as_ref()
    }

    /// Returns the latest report of a server that answers.
    pub(super) fn report_if_reachable(&self) -> Option<&backend_server::LoadReport> {
        self.report.as_ref().filter(|_| self.is_reachable())
    }
}
