//! Servers that have left, for the time after a restoration of the platform's store.
//!
//! A restored list has servers again that had left after the copy was made. Their registrations
//! expire, as nobody renews them; until then they must not be used.

use std::{collections, time};

use crate::{forward::server, ids};

/// Time after a restoration in which registrations expire that nobody renews.
const RESTORATION_GRACE: time::Duration = time::Duration::from_secs(5);
/// Time for which it is known that a server has left; copies of the store are younger.
const RETENTION: time::Duration = time::Duration::from_secs(60);

/// Servers that have left or are leaving.
#[derive(Debug, Default)]
pub struct Departures {
    departures: collections::BTreeMap<ids::BackendServerId, Departure>,
    restored_at: Option<ids::Timestamp>,
}

/// Departure of one run of a server.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start of the run, if known.
    started_unix_ms: Option<u64>,
    noticed_at: ids::Timestamp,
}

impl Departures {
    /// Records that the platform's store was restored from a copy.
    pub const fn record_restoration(&mut self, now: ids::Timestamp) {
        self.restored_at = Some(now);
    }

    /// Records that a server is no longer listed or is leaving.
    pub fn record(&mut self, server: &server::Server, now: ids::Timestamp) {
        let departure = Departure {
            started_unix_ms: server.started_unix_ms,
            noticed_at: now,
        };
        self.departures.insert(server.id.clone(), departure);
    }

    /// Applies a new list: records the servers that are leaving, and forgets those that are in use
    /// again.
    pub fn apply_list<'a>(
        &mut self,
        servers: impl Iterator<Item = &'a server::Server>,
        now: ids::Timestamp,
    ) {
        for server in servers {
            if server.state != server::State::Ready {
                self.record(server, now);
            } else if !self.is_outdated(server, now) {
                self.departures.remove(&server.id);
            }
        }
        let is_recent = |at: ids::Timestamp| now.saturating_sub(at) < RETENTION;
        self.departures
            .retain(|_, departure| is_recent(departure.noticed_at));
    }

    /// Returns whether a listed server has left and is listed only because the platform's store was
    /// restored.
    #[must_use]
    pub fn is_outdated(&self, server: &server::Server, now: ids::Timestamp) -> bool {
        let since = self.restored_at.map(|at| now.saturating_sub(at));
        let departure = self.departures.get(&server.id);
        since.is_some_and(|since| since < RESTORATION_GRACE)
            && departure.is_some_and(|it| it.started_unix_ms == server.started_unix_ms)
    }
}
