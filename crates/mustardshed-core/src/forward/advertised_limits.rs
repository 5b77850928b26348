//! Rate limits that servers advertise in their responses: the most that each accepts from all entries
//! together.

use std::{collections, time};

use crate::ids;

/// Age of a limit from which a response without one ends it; responses overtake each other.
const MIN_DURATION: time::Duration = time::Duration::from_secs(1);
/// Time after which a limit expires unless it is advertised again: the entries that may send to the
/// server may be gone.
const MAX_SILENCE: time::Duration = time::Duration::from_secs(30);
/// Interval at which peers are told that a limit is still advertised.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Limits by server.
#[derive(Debug, Default)]
pub struct AdvertisedLimits {
    limits: collections::HashMap<ids::BackendServerId, AdvertisedLimit>,
}

/// A limit as last advertised.
#[derive(Clone, Copy, Debug)]
struct AdvertisedLimit {
    per_s: f64,
    advertised_at: ids::Timestamp,
    reported_at: ids::Timestamp,
}

impl AdvertisedLimits {
    /// Records the requests per second that a server advertises; returns whether peers are to be told.
    pub fn record(&mut self, server: &str, per_s: f64, now: ids::Timestamp) -> bool {
        let known = self.limits.get(server).filter(|limit| {
            let reported_for = now.saturating_sub(limit.reported_at);
            limit.per_s.total_cmp(&per_s).is_eq() && reported_for < REPORT_INTERVAL
        });
        let reported_at = known.map_or(now, |limit| limit.reported_at);
        let is_due = known.is_none();
        let limit = AdvertisedLimit {
            per_s,
            advertised_at: now,
            reported_at,
        };
        self.limits.insert(server.to_owned(), limit);
        is_due
    }

    /// Records the limit of a server that a peer has seen at `as_of`, or that there was none any
    /// more, unless a later one is known.
    pub fn record_from_peer(&mut self, server: &str, per_s: Option<f64>, as_of: ids::Timestamp) {
        let known = self.limits.get(server);
        if known.is_some_and(|known| known.advertised_at > as_of) {
            return;
        }
        let Some(per_s) = per_s else {
            self.limits.remove(server);
            return;
        };
        let limit = AdvertisedLimit {
            per_s,
            advertised_at: as_of,
            reported_at: as_of,
        };
        self.limits.insert(server.to_owned(), limit);
    }

    /// Records a successful response without a limit; returns whether that ended one.
    pub fn record_none(&mut self, server: &str, now: ids::Timestamp) -> bool {
        let limit = self.limits.get(server);
        let is_ended =
            limit.is_some_and(|limit| now.saturating_sub(limit.advertised_at) >= MIN_DURATION);
        if is_ended {
            self.limits.remove(server);
        }
        is_ended
    }

    /// Returns the limit of a server in requests per second, if it advertises one.
    #[must_use]
    pub fn per_s(&self, server: &str, now: ids::Timestamp) -> Option<f64> {
        let limit = self.limits.get(server)?;
        (now.saturating_sub(limit.advertised_at) < MAX_SILENCE).then_some(limit.per_s)
    }

    /// Returns the limits of all servers that advertise one, in requests per second, with the times
    /// at which they last did.
    pub fn all(
        &self,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = (&ids::BackendServerId, f64, ids::Timestamp)> {
        let limits = self.limits.iter();
        limits.filter_map(move |(server, limit)| {
            let per_s = self.per_s(server, now)?;
            Some((server, per_s, limit.advertised_at))
        })
    }

    /// Removes servers that are no longer listed.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.limits.retain(|id, _| is_listed(id));
    }
}
