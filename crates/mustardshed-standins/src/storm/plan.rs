//! Parameters of a storm.

use std::{path, time};

/// Parameters of a storm.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// How long faults and load last.
    pub duration: time::Duration,
    /// Seed of faults and load.
    pub seed: u64,
    /// Time without load before the fleet is checked.
    pub rest: time::Duration,
    /// Folder to which the entries' logs are copied, if any.
    pub keep_logs: Option<path::PathBuf>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            duration: time::Duration::from_secs(180),
            seed: 1,
            rest: time::Duration::from_secs(30),
            keep_logs: None,
        }
    }
}
