//! This entry's shares in the request rates that servers accept from all entries together.
//!
//! Load pattern addressed: a crash breaks off requests of many entries in the same millisecond.
//! Each of them sends its requests elsewhere before it hears of the others, so that a limit on the
//! requests known to have been sent does not hold. Instead the limit is divided among the
//! registered entries: the shares add up to it, whatever entries hear of each other.
//!
//! Where a limit is lower than the number of entries, only some have a share, for each server
//! others: those that [`rendezvous`] lets prefer it.

use std::{collections, time};

use crate::{
    forward::{load_tracker, relays, rendezvous},
    ids,
};

/// Shortest window of an advertised limit.
const MIN_WINDOW: time::Duration = time::Duration::from_secs(1);
/// Longest window of a limit.
const MAX_WINDOW: time::Duration = time::Duration::from_secs(4);

/// Limit on the requests that a server gets from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub per_s: f64,
    /// Window in which they are counted, four seconds at most.
    pub window: time::Duration,
}

impl Limit {
    /// Creates the limit for the rate that a cold server can take.
    #[must_use]
    pub const fn cold(per_s: f64) -> Self {
        Self {
            per_s,
            window: load_tracker::ARRIVAL_WINDOW,
        }
    }

    /// Creates the limit for a rate that a server advertises. A short window spreads the requests;
    /// a rate of less than one request per second and entry needs a longer one.
    #[must_use]
    pub fn advertised(per_s: f64, members: &relays::Members) -> Self {
        let short = Self {
            per_s,
            window: MIN_WINDOW,
        };
        if short.whole_requests() >= members.len() {
            return short;
        }
        Self {
            per_s,
            window: MAX_WINDOW,
        }
    }

    /// Returns the number of requests to share out, at least one: only responses show that a limit
    /// has ended.
    fn requests(self) -> usize {
        self.whole_requests().max(1)
    }

    /// Returns the number of whole requests in a window.
    fn whole_requests(self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "casts of floats saturate"
        )]
        let requests = (self.per_s * self.window.as_secs_f64()) as usize;
        requests
    }
}

/// Entries that share the limits.
#[derive(Clone, Copy, Debug)]
pub struct Sharers<'a> {
    /// This entry.
    pub own: &'a str,
    /// Registered entries, whether alive or not: which ones are alive is judged differently by
    /// entries that are cut off from each other.
    pub members: &'a relays::Members,
    /// Revision of the members.
    pub revision: u64,
}

/// Shares of one entry and what it has sent.
#[derive(Debug, Default)]
pub struct RateShares {
    /// Revision of the members for which the ranks hold.
    revision: u64,
    ranks: collections::HashMap<ids::BackendServerId, usize>,
    sent: collections::HashMap<ids::BackendServerId, collections::VecDeque<ids::Timestamp>>,
}

impl RateShares {
    /// Returns how many requests this entry may send a server now under a limit. Without registered
    /// entries it may send none, as it cannot know its share.
    pub fn left(
        &mut self,
        server: &str,
        limit: Limit,
        sharers: Sharers<'_>,
        now: ids::Timestamp,
    ) -> usize {
        if sharers.members.is_empty() {
            return 0;
        }
        let rank = self.rank(server, sharers);
        let is_registered = sharers.members.contains_key(sharers.own);
        let entries = sharers.members.len() + usize::from(!is_registered);
        let sent = self.sent.get(server).into_iter().flatten();
        let sent = sent.filter(|at| now.saturating_sub(**at) < limit.window);
        share(limit.requests(), rank, entries).saturating_sub(sent.count())
    }

    /// Records a request that this entry sends to a server.
    pub fn record_sent(&mut self, server: &str, now: ids::Timestamp) {
        let sent = self.sent.entry(server.to_owned()).or_default();
        while sent.front().is_some_and(|at| *at + MAX_WINDOW < now) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Removes servers that are no longer listed.
    pub fn retain_servers(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.ranks.retain(|id, _| is_listed(id));
        self.sent.retain(|id, _| is_listed(id));
    }

    /// Returns the number of other entries that come before this one in the shares of a server.
    fn rank(&mut self, server: &str, sharers: Sharers<'_>) -> usize {
        if std::mem::replace(&mut self.revision, sharers.revision) != sharers.revision {
            self.ranks.clear();
        }
        if let Some(rank) = self.ranks.get(server) {
            return *rank;
        }
        let key = |vm| (rendezvous::score(vm, server), vm);
        let own = key(sharers.own);
        let others = sharers.members.keys().map(|vm| key(vm.as_str()));
        let rank = others.filter(|other| *other < own).count();
        self.ranks.insert(server.to_owned(), rank);
        rank
    }
}

/// Returns the share of the entry with a rank in `requests`; the shares of all entries add up to
/// that.
const fn share(requests: usize, rank: usize, entries: usize) -> usize {
    let rest = requests % entries;
    requests / entries + if rank < rest { 1 } else { 0 }
}
