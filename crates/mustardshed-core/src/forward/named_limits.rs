//! Request rates that servers name in their responses: the most that each accepts from all entries
//! together.

use std::{collections, time};

use crate::ids;

/// Time after which a response without a rate ends the limit; responses overtake each other.
const MIN_DURATION: time::Duration = time::Duration::from_secs(1);
/// Time for which a limit holds that is not named again. Entries that may not send the server
/// anything learn only from others that it still names one.
const MAX_SILENCE: time::Duration = time::Duration::from_secs(30);
/// Interval at which peers are told that a limit is still named.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);

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
    reported_at: ids::Timestamp,
}

impl NamedLimits {
    /// Records the requests per second that a server has named; returns whether peers are to be
    /// told.
    pub fn record(&mut self, server: &str, per_s: f64, now: ids::Timestamp) -> bool {
        let known = self.limits.get(server).filter(|named| {
            let reported_for = now.saturating_sub(named.reported_at);
            named.per_s.total_cmp(&per_s).is_eq() && reported_for < REPORT_INTERVAL
        });
        let reported_at = known.map_or(now, |named| named.reported_at);
        let is_due = known.is_none();
        let named = NamedLimit {
            per_s,
            named_at: now,
            reported_at,
        };
        self.limits.insert(server.to_owned(), named);
        is_due
    }

    /// Records what a peer has learned of a server: the rate that it names, or that it names none.
    pub fn record_from_peer(&mut self, server: &str, per_s: Option<f64>, now: ids::Timestamp) {
        let Some(per_s) = per_s else {
            self.limits.remove(server);
            return;
        };
        let named = NamedLimit {
            per_s,
            named_at: now,
            reported_at: now,
        };
        self.limits.insert(server.to_owned(), named);
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
    pub fn per_s(&self, server: &str, now: ids::Timestamp) -> Option<f64> {
        let named = self.limits.get(server)?;
        (now.saturating_sub(named.named_at) < MAX_SILENCE).then_some(named.per_s)
    }

    /// Returns the servers that have named a rate, with the requests per second.
    pub fn all(&self, now: ids::Timestamp) -> impl Iterator<Item = (&ids::BackendServerId, f64)> {
        let servers = self.limits.keys();
        servers.filter_map(move |server| Some((server, self.per_s(server, now)?)))
    }

    /// Removes servers that are no longer listed.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_listed(id));
    }
}
