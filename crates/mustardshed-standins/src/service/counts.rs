//! Counts of a plain service.

/// What a plain service did since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Executions, those no longer in the records included.
    pub executions: u64,
    /// Times that the service fell over.
    pub fell_over: u64,
    /// Greatest number of calls at once while the service was cold.
    pub max_running_cold: usize,
    /// Number of the warm period.
    pub epoch: u64,
}
