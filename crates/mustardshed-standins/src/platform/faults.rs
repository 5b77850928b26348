//! Faults of the platform that are switched on while it runs.

use std::{collections, time};

use crate::platform::faults_change;

/// Callers that can be cut at once.
const MAX_CUT_CALLERS: usize = 1_024;
/// Longest delay, lag or staleness, in milliseconds.
const MAX_DELAY_MS: u64 = 600_000;

/// The faults in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Faults {
    /// Every call but the administration's is refused.
    pub outage: bool,
    /// Added time of each call in milliseconds, half before and half after it takes effect.
    pub slow_ms: u64,
    /// Number of writes yet to take effect without an answer.
    pub lose_answers: u64,
    /// Kind of the objects whose writes lose their answers; any kind if there is none.
    pub lose_answers_kind: Option<String>,
    /// Age of what reads show, in milliseconds.
    pub stale_reads_ms: u64,
    /// Age of what the list of VMs shows, in milliseconds.
    pub list_lag_ms: u64,
    /// Version before which changes are not kept; watches from earlier ones end.
    pub forgotten_before: u64,
    /// Names of callers whose calls are refused.
    pub cut: collections::BTreeSet<String>,
}

impl Faults {
    /// Puts the given parts of `change` in force, or returns why it cannot be.
    ///
    /// # Errors
    ///
    /// Returns a reason if a delay or the number of cut callers is beyond its limit.
    pub fn apply(&mut self, change: faults_change::FaultsChange) -> Result<(), String> {
        let mut faults = self.clone();
        faults.merge(change);
        faults.check()?;
        *self = faults;
        Ok(())
    }

    /// Returns whether calls of `caller` are refused.
    pub fn refuses(&self, caller: &str) -> bool {
        self.outage || self.cut.contains(caller)
    }

    /// Returns whether the answer to a write of `kind` that took effect is lost, and counts it.
    pub fn loses_answer(&mut self, kind: &str) -> bool {
        let concerned = self.lose_answers_kind.as_deref().is_none_or(|k| k == kind);
        let lost = concerned && self.lose_answers > 0;
        self.lose_answers -= u64::from(lost);
        lost
    }

    /// Returns the time that a call waits before it takes effect, and again after.
    pub const fn half_delay(&self) -> time::Duration {
        time::Duration::from_millis(self.slow_ms / 2)
    }

    /// Returns the age of what reads show.
    pub const fn staleness(&self) -> time::Duration {
        time::Duration::from_millis(self.stale_reads_ms)
    }

    /// Returns the age of what the list of VMs shows.
    pub const fn list_lag(&self) -> time::Duration {
        time::Duration::from_millis(self.list_lag_ms)
    }

    fn merge(&mut self, change: faults_change::FaultsChange) {
        let faults_change::FaultsChange {
            outage,
            slow_ms,
            lose_answers,
            lose_answers_kind,
            stale_reads_ms,
            list_lag_ms,
            forgotten_before,
            cut,
        } = change;
        self.outage = outage.unwrap_or(self.outage);
        self.slow_ms = slow_ms.unwrap_or(self.slow_ms);
        self.lose_answers = lose_answers.unwrap_or(self.lose_answers);
        self.stale_reads_ms = stale_reads_ms.unwrap_or(self.stale_reads_ms);
        self.list_lag_ms = list_lag_ms.unwrap_or(self.list_lag_ms);
        self.forgotten_before = forgotten_before.unwrap_or(self.forgotten_before);
        if let Some(kind) = lose_answers_kind {
            self.lose_answers_kind = kind;
        }
        if let Some(cut) = cut {
            self.cut = cut;
        }
    }

    fn check(&self) -> Result<(), String> {
        let delays = [
            ("slow_ms", self.slow_ms),
            ("stale_reads_ms", self.stale_reads_ms),
            ("list_lag_ms", self.list_lag_ms),
        ];
        for (name, ms) in delays {
            if ms > MAX_DELAY_MS {
                return Err(format!("{name} is {ms}, beyond {MAX_DELAY_MS}"));
            }
        }
        if self.cut.len() > MAX_CUT_CALLERS {
            return Err(format!("cut names more than {MAX_CUT_CALLERS} callers"));
        }
        Ok(())
    }
}
