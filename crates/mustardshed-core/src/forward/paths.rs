//! Which servers this entry reaches by connections of its own.

use std::{collections, time};

use crate::ids;

/// Servers that cannot be reached, with none that can in between, after which this entry's paths
/// count as lost: fewer may well have ended at the same time.
const MIN_LOST_SERVERS: usize = 3;

/// A change that concerns the paths to all servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The paths were lost.
    Lost {
        /// Servers that could not be reached.
        servers: usize,
    },
    /// A server was reached again.
    Restored {
        /// Time since the first failure.
        after: time::Duration,
    },
}

/// Outcomes of this entry's connections to servers.
#[derive(Debug, Default)]
pub struct Paths {
    /// Servers to which the last connection failed.
    unreached: collections::HashSet<ids::BackendServerId>,
    /// Servers that could not be reached since any was.
    failed: collections::HashSet<ids::BackendServerId>,
    first_failed_at: ids::Timestamp,
}

impl Paths {
    /// Records whether a connection to a server was made; returns the change, if there is one.
    pub fn record(
        &mut self,
        server: &str,
        is_connected: bool,
        now: ids::Timestamp,
    ) -> Option<Change> {
        if is_connected {
            self.record_connected(server, now)
        } else {
            self.record_failed(server, now)
        }
    }

    /// Returns the number of servers to which the last connection failed.
    #[must_use]
    pub fn unreached(&self) -> usize {
        self.unreached.len()
    }

    fn record_connected(&mut self, server: &str, now: ids::Timestamp) -> Option<Change> {
        self.unreached.remove(server);
        let failed = std::mem::take(&mut self.failed).len();
        (failed >= MIN_LOST_SERVERS).then(|| Change::Restored {
            after: now.saturating_sub(self.first_failed_at),
        })
    }

    fn record_failed(&mut self, server: &str, now: ids::Timestamp) -> Option<Change> {
        if self.failed.is_empty() {
            self.first_failed_at = now;
        }
        self.unreached.insert(server.to_owned());
        let is_new = self.failed.insert(server.to_owned());
        let servers = self.failed.len();
        (is_new && servers == MIN_LOST_SERVERS).then_some(Change::Lost { servers })
    }
}
