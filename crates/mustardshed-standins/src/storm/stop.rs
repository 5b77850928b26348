//! A planned stop of an entry.

/// A planned stop of an entry; times are Unix milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// VM of the entry.
    pub vm: String,
    /// When it was told to end.
    pub told_ms: u64,
    /// When it was seen to have ended.
    pub ended_ms: u64,
    /// Exit code; none if a signal or the wait ended it.
    pub exit_code: Option<i32>,
}
