//! Whether a backend server is taken to be cold or warm.
//!
//! Any sign of cold sets the ramp back at once: another epoch in a report or on an answer, a
//! report that says cold, a first token far later than estimated. The server is warm again when it
//! has finished enough requests in this epoch and then reports that it is warm. A server of which
//! no sign of cold was ever seen is as warm as it reports.
//!
//! What was measured or sent before the latest sign arrives after it now and then, and must not
//! bring an earlier epoch back: a report counts only if it was measured since, an answer only if
//! its epoch is greater.

use crate::{boundary::backend_server, ids, mutation};

/// Warmth of one backend server as its steward takes it to be.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ramp {
    epoch: Option<ids::Epoch>,
    cold: Option<Cold>,
}

/// A cold period.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Cold {
    since: ids::Timestamp,
    finished: u32,
}

impl Ramp {
    /// Returns the epoch, once one was seen.
    pub const fn epoch(&self) -> Option<ids::Epoch> {
        self.epoch
    }

    /// Returns whether the server is to be given no more than its cold limit.
    pub fn is_cold(&self) -> bool {
        if mutation::on("cold_ignored") {
            return false;
        }
        self.epoch.is_none() || self.cold.is_some()
    }

    /// Takes a report of figures measured at `measured_at`; returns whether it is a new sign of cold.
    pub fn on_report(
        &mut self,
        measured_at: ids::Timestamp,
        report: &backend_server::LoadReport,
        warm_after: u32,
        now: ids::Timestamp,
    ) -> bool {
        let is_first = self.epoch.is_none();
        if !is_first && self.epoch != Some(report.epoch) {
            if self.is_before_cold_sign(measured_at) {
                return false;
            }
            return self.mark_cold(Some(report.epoch), now);
        }
        self.epoch = Some(report.epoch);
        if report.warmth == backend_server::Warmth::Cold {
            let is_new = self.cold.is_none();
            self.cold.get_or_insert(Cold {
                since: now,
                finished: 0,
            });
            return is_new;
        }
        self.warm_up(measured_at, warm_after);
        false
    }

    /// Takes the epoch of an answer; returns whether it is a sign of cold.
    pub fn observe_epoch(&mut self, epoch: ids::Epoch, now: ids::Timestamp) -> bool {
        let is_earlier = epoch < self.epoch.unwrap_or_default();
        let is_late = is_earlier && !mutation::on("late_epoch_counts");
        if self.epoch == Some(epoch) || is_late || mutation::on("answer_epoch_ignored") {
            return false;
        }
        self.mark_cold(Some(epoch), now)
    }

    /// Takes a finished request of the present epoch.
    pub const fn request_finished(&mut self) {
        if let Some(cold) = &mut self.cold {
            cold.finished = cold.finished.saturating_add(1);
        }
    }

    /// Takes a sign of cold; returns whether the server was not taken to be cold in this epoch.
    pub fn mark_cold(&mut self, epoch: Option<ids::Epoch>, now: ids::Timestamp) -> bool {
        let is_new = self.cold.is_none() || (epoch.is_some() && epoch != self.epoch);
        if epoch.is_some() {
            self.epoch = epoch;
        }
        self.cold = Some(Cold {
            since: now,
            finished: 0,
        });
        is_new
    }

    fn is_before_cold_sign(&self, measured_at: ids::Timestamp) -> bool {
        let is_older = self
            .cold
            .as_ref()
            .is_some_and(|cold| measured_at < cold.since);
        is_older && !mutation::on("late_epoch_counts")
    }

    fn warm_up(&mut self, measured_at: ids::Timestamp, warm_after: u32) {
        let is_warm = self
            .cold
            .as_ref()
            .is_some_and(|cold| measured_at >= cold.since && cold.finished >= warm_after);
        if is_warm {
            self.cold = None;
        }
    }
}
