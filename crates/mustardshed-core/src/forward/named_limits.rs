//! Request rates that servers name in their responses: the most that each accepts from all entries
//! together.

use std::{collections, time};

use crate::ids;

/// Time after which a response without a rate ends the limit; responses overtake each other.
const MIN_DURATION: time::Duration = time::Duration::from_secs(1);

/// Limits by server.
#[derive(Debug, Default)]
pub struct NamedLimits {
    limits: collections::HashMap<ids::BackendServerId, NamedLimit>,
}

/// A limit as a server last named it.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    per_s: f64,
    named_at: ids::Timestamp,
}

impl NamedLimits {
    /// Records the requests per second that a server has named; returns the rate before, if any.
    pub fn record(&mut self, server: &str, per_s: f64, now: ids::Timestamp) -> Option<f64> {
        let named = NamedLimit {
            per_s,
            named_at: now,
        };
        let before = self.limits.insert(server.to_owned(), named);
        before.map(|before| before.per_s)
    }

    /// Records a successful response in which the server named no rate; returns whether that ended
    /// a limit.
    pub fn record_none(&mut self, server: &str, now: ids::Timestamp) -> bool {
        let named = self.limits.get(server);
        let is_ended =
            named.is_some_and(|named| now.saturating_sub(named.named_at) >= MIN_DURATION);
        if is_ended {
            self.limits.remove(server);
        }
        is_ended
    }

    /// Returns the requests per second that a server has named, if any.
    #[must_use]
    pub fn per_s(&self, server: &str) -> Option<f64> {
        self.limits.get(server).map(|named| named.per_s)
    }

    /// Removes servers that are no longer listed.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_listed(id));
    }
}
