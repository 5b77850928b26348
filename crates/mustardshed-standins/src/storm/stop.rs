//! A planned stop of an entry.

/// A planned stop of an entry; times are Unix milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// VM of the entry.
    pub vm: String,
    /// When it was asked to stop.
    pub told_ms: u64,
    /// When its exit was observed.
    pub ended_ms: u64,
    /// Exit code; `None` if it was ended by a signal or did not exit in time.
    pub exit_code: Option<i32>,
}
