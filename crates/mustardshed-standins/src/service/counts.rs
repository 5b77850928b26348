//! Counts of a plain service.

/// Counts of a plain service since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Executions, including those dropped from the records.
    pub executions: u64,
    /// Number of crashes under load while cold.
    pub fell_over: u64,
    /// Greatest number of calls at once while the service was cold.
    pub max_running_cold: usize,
    /// Number of the warm period.
    pub epoch: u64,
}
