//! Faults of a plain service that are switched on while it runs.

use std::time;

use crate::service::faults_change;

/// Lag of load reports at the start, in milliseconds.
const LOAD_LAG_MS: u64 = 100;
/// Longest lag of load reports, in milliseconds.
const MAX_LOAD_LAG_MS: u64 = 60_000;
/// Largest `slow_percent`.
const MAX_SLOW_PERCENT: u32 = 100_000;

/// The active faults.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Faults {
    /// Connections are closed without a response, and running calls are aborted.
    pub dead: bool,
    /// The service takes no new calls.
    pub leaving: bool,
    /// Lag of load reports in milliseconds.
    pub load_lag_ms: u64,
    /// Extra duration of a call, in percent.
    pub slow_percent: u32,
    /// Number of further calls that are executed without a response.
    pub lose_answers: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            dead: false,
            leaving: false,
            load_lag_ms: LOAD_LAG_MS,
            slow_percent: 0,
            lose_answers: 0,
        }
    }
}

impl Faults {
    /// Applies the fields that `change` contains; all or none of them.
    ///
    /// # Errors
    ///
    /// Returns a reason if a value is above its limit.
    pub fn apply(&mut self, change: &faults_change::FaultsChange) -> Result<(), String> {
        let faults = Self {
            dead: change.dead.unwrap_or(self.dead),
            leaving: change.leaving.unwrap_or(self.leaving),
            load_lag_ms: change.load_lag_ms.unwrap_or(self.load_lag_ms),
            slow_percent: change.slow_percent.unwrap_or(self.slow_percent),
            lose_answers: change.lose_answers.unwrap_or(self.lose_answers),
        };
        if faults.load_lag_ms > MAX_LOAD_LAG_MS {
            return Err(format!("load_lag_ms is more than {MAX_LOAD_LAG_MS}"));
        }
        if faults.slow_percent > MAX_SLOW_PERCENT {
            return Err(format!("slow_percent is more than {MAX_SLOW_PERCENT}"));
        }
        *self = faults;
        Ok(())
    }

    /// Returns the lag of load reports.
    pub const fn load_lag(&self) -> time::Duration {
        time::Duration::from_millis(self.load_lag_ms)
    }

    /// Returns how long work of the given length takes with the slowdown.
    pub fn slowed(&self, work: time::Duration) -> time::Duration {
        work * (100 + self.slow_percent) / 100
    }

    /// Returns whether to drop a response, and counts down if so.
    pub const fn loses_answer(&mut self) -> bool {
        if self.lose_answers == 0 {
            return false;
        }
        self.lose_answers -= 1;
        true
    }
}
