//! How long the platform has listed a run of a server.

use std::time;

/// Time since some moment for which a run of a server has been listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListedFor {
    /// Time that reads of the list confirm.
    pub confirmed: time::Duration,
    /// Time up to now, if the list has not changed since it was read.
    pub presumed: time::Duration,
}
