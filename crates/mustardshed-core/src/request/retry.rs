//! Retry budgets, one for each service.

use std::sync::atomic;

/// Units per retry; a first send deposits as many units as the service's retry percentage.
const UNITS_PER_RETRY: i64 = 100;
/// Maximum number of retries in a budget.
const MAX_RETRIES: i64 = 20;
/// Number of retries in a new budget, so that a service with few calls can retry at all.
const FIRST_RETRIES: i64 = 3;

/// Budget of retries of one service.
///
/// Each first send deposits a fraction of a retry; each retry withdraws one. With an empty
/// budget, failures are returned without a retry, so that a fault cannot multiply the load.
///
/// ```
/// use mustardshed_core::request::retry;
///
/// let budget = retry::Budget::new();
/// assert!(budget.withdraw());
/// ```
#[derive(Debug)]
pub struct Budget {
    units: atomic::AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// Makes a budget that allows a few retries.
    pub const fn new() -> Self {
        Self {
            units: atomic::AtomicI64::new(FIRST_RETRIES * UNITS_PER_RETRY),
        }
    }

    /// Deposits for one first send; `percent` is the service's retries for each 100 first sends.
    pub fn deposit(&self, percent: u32) {
        let max = MAX_RETRIES * UNITS_PER_RETRY;
        self.update(|units| Some((units + i64::from(percent)).min(max)));
    }

    /// Withdraws one retry; returns `false` if none is left.
    pub fn withdraw(&self) -> bool {
        self.update(|units| (units >= UNITS_PER_RETRY).then_some(units - UNITS_PER_RETRY))
    }

    fn update(&self, change: impl FnMut(i64) -> Option<i64>) -> bool {
        self.units
            .try_update(atomic::Ordering::Relaxed, atomic::Ordering::Relaxed, change)
            .is_ok()
    }
}
