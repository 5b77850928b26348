//! Whether the steward treats a backend server as cold or warm.
//!
//! Any cold sign makes the server cold at once: another epoch in a load report or on a response, a
//! report that says cold, a first token far later than estimated. The server is warm again when it
//! has finished enough requests in this epoch and then reports that it is warm. Without any cold
//! sign the server's own report decides.
//!
//! Reports and responses from before the latest cold sign may arrive after it and must not bring an
//! earlier epoch back: a report counts only if it was measured after the sign, a response only if
//! its epoch is greater.

use crate::{boundary::backend_server, ids, mutation};

/// Warmth of one backend server in the view of its steward.
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
    /// Returns the latest epoch; `None` until one was seen.
    pub const fn epoch(&self) -> Option<ids::Epoch> {
        self.epoch
    }

    /// Returns whether the server's cold limit applies; true until an epoch was seen.
    pub fn is_cold(&self) -> bool {
        if mutation::on("cold_ignored") {
            return false;
        }
        self.epoch.is_none() || self.cold.is_some()
    }

    /// Applies a load report measured at `measured_at`; returns whether it is a new cold sign.
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

    /// Applies the epoch of a response; returns whether it is a new cold sign.
    pub fn observe_epoch(&mut self, epoch: ids::Epoch, now: ids::Timestamp) -> bool {
        let is_earlier = epoch < self.epoch.unwrap_or_default();
        let is_late = is_earlier && !mutation::on("late_epoch_counts");
        if self.epoch == Some(epoch) || is_late || mutation::on("answer_epoch_ignored") {
            return false;
        }
        self.mark_cold(Some(epoch), now)
    }

    /// Counts a request that finished in the current epoch.
    pub const fn request_finished(&mut self) {
        if let Some(cold) = &mut self.cold {
            cold.finished = cold.finished.saturating_add(1);
        }
    }

    /// Applies a cold sign; returns whether it is the first of this epoch.
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
