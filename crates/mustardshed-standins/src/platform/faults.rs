//! Faults of the platform that are switched on while it runs.

use std::{collections, time};

use crate::platform::faults_change;

/// Largest number of callers cut off at once.
const MAX_CUT_CALLERS: usize = 1_024;
/// Longest delay, lag or staleness, in milliseconds.
const MAX_DELAY_MS: u64 = 600_000;

/// The active faults.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct Faults {
    /// Every call but the administration's is refused.
    pub outage: bool,
    /// Delay added to each call in milliseconds, half before and half after it takes effect.
    pub slow_ms: u64,
    /// Number of further writes that take effect without a response.
    pub lose_answers: u64,
    /// Kind of the objects whose writes get no response; `None` for any kind.
    pub lose_answers_kind: Option<String>,
    /// Staleness of reads, in milliseconds.
    pub stale_reads_ms: u64,
    /// Lag of the list of VMs, in milliseconds.
    pub list_lag_ms: u64,
    /// Version before which changes are not kept; watches from an earlier one end.
    pub forgotten_before: u64,
    /// Names of callers whose calls are refused.
    pub cut: collections::BTreeSet<String>,
    /// Names of objects that lists and watches show without their names.
    pub unnamed: collections::BTreeSet<String>,
}

impl Faults {
    /// Applies the fields that `change` contains; all or none of them.
    ///
    /// # Errors
    ///
    /// Returns a reason if a delay or the number of cut callers exceeds its limit.
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

    /// Returns whether to drop the response to a write of `kind`, and counts down if so.
    pub fn loses_answer(&mut self, kind: &str) -> bool {
        let affected = self.lose_answers_kind.as_deref().is_none_or(|k| k == kind);
        let lost = affected && self.lose_answers > 0;
        self.lose_answers -= u64::from(lost);
        lost
    }

    /// Returns the delay of a call before it takes effect, and again after.
    pub const fn half_delay(&self) -> time::Duration {
        time::Duration::from_millis(self.slow_ms / 2)
    }

    /// Returns the staleness of reads.
    pub const fn staleness(&self) -> time::Duration {
        time::Duration::from_millis(self.stale_reads_ms)
    }

    /// Returns the lag of the list of VMs.
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
            unnamed,
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
        if let Some(unnamed) = unnamed {
            self.unnamed = unnamed;
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
                return Err(format!("{name} is {ms}, more than {MAX_DELAY_MS}"));
            }
        }
        if self.cut.len() > MAX_CUT_CALLERS {
            return Err(format!("cut lists more than {MAX_CUT_CALLERS} callers"));
        }
        Ok(())
    }
}
