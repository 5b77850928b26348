//! When a request is sent to a second server while the first attempt continues.
//!
//! Load pattern addressed: a few servers that answer far more slowly than usual. A second attempt is
//! due once the first has taken longer than nearly all answers on its route. It is extra work, so it
//! is limited to a share of the requests of its service and to services with free slots: if all
//! servers are equally slow, the usual time rises with them, and the limit caps what is sent until
//! then.

use std::{collections, time};

use displaydoc::Display;

use crate::{forward::routes, ids};

mod race;
mod usual;

pub use race::{Attempt, Next, Race};

/// Routes whose answer times are kept; the one that answered least recently is dropped for another.
const MAX_ROUTES: usize = 256;
/// Multiple of the usual time after which a second attempt is due; the ordinary tail of the answers
/// lies below it.
const DUE_FACTOR: f64 = 1.5;
/// Share of a service's slots that are taken from which on it counts as busy.
const BUSY_SHARE: f64 = 0.75;
/// Share of its weight that a second attempt may cost other requests.
pub const MAX_COST_SHARE: f64 = 0.1;

/// Limits that the operators set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Second attempts allowed per request to a service in a window.
    pub max_share: f64,
    /// Shortest time after which a second attempt may be sent.
    pub min_delay: time::Duration,
    /// Length of the window.
    pub window: time::Duration,
}

/// Slots of the servers that a second attempt may be sent to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    /// Slots taken by requests in flight, of all entries.
    pub taken: usize,
    /// All slots.
    pub total: usize,
}

impl Slots {
    fn are_scarce(self) -> bool {
        count_f64(self.taken) >= count_f64(self.total) * BUSY_SHARE
    }
}

/// Why no second attempt is sent.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Denied {
    /// the request is suspected of crashing servers
    Suspected,
    /// the other servers have few free slots
    Busy,
    /// the share of second attempts is used up
    Share,
    /// no other server takes it without delaying others
    NotPlaced,
    /// the retry budget is spent
    RetryBudget,
}

impl Denied {
    /// Returns the reason under which it is counted.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Busy => "busy",
            Self::Share => "share",
            Self::NotPlaced => "not_placed",
            Self::RetryBudget => "retry_budget",
        }
    }
}

/// Returns whether the next attempt of a request, after `attempts` others, may have a second one
/// beside it.
#[must_use]
pub const fn is_eligible(route: &routes::Route, attempts: u32, is_resumed: bool) -> bool {
    route.kind.is_retryable() && attempts == 0 && route.max_attempts >= 2 && !is_resumed
}

/// Answer times and second attempts of one entry.
#[derive(Debug)]
pub struct Hedging {
    limits: Limits,
    routes: collections::HashMap<String, usual::Usual>,
    services: collections::HashMap<ids::ServiceId, Window>,
}

#[derive(Debug, Default)]
struct Window {
    requests: collections::VecDeque<ids::Timestamp>,
    hedges: collections::VecDeque<ids::Timestamp>,
}

impl Hedging {
    /// Makes a state in which nothing is known of any route.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            routes: collections::HashMap::new(),
            services: collections::HashMap::new(),
        }
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &str, now: ids::Timestamp) {
        let since = now.saturating_sub(self.limits.window);
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(since);
        window.requests.push_back(now);
    }

    /// Records how long an answer on a route took, or a first attempt until it was cancelled, against
    /// the time that was expected.
    pub fn record_answer(
        &mut self,
        route: &str,
        took: time::Duration,
        expected: time::Duration,
        now: ids::Timestamp,
    ) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.drop_oldest_route();
        }
        let usual = self.routes.entry(route.to_owned()).or_default();
        usual.record(ratio(took, expected), now);
    }

    /// Returns the time after which a second attempt on a route is due; none until enough is known.
    #[must_use]
    pub fn due_after(&self, route: &str, expected: time::Duration) -> Option<time::Duration> {
        let usual = self.routes.get(route)?.ratio()?;
        let due = unit(expected).as_secs_f64() * usual * DUE_FACTOR;
        let due = time::Duration::try_from_secs_f64(due).ok()?;
        Some(due.max(self.limits.min_delay))
    }

    /// Checks whether a second attempt that is due may be placed.
    ///
    /// # Errors
    ///
    /// Returns the limit that forbids it.
    pub fn check(
        &mut self,
        service: &str,
        slots: Slots,
        is_suspected: bool,
        now: ids::Timestamp,
    ) -> Result<(), Denied> {
        if is_suspected {
            Err(Denied::Suspected)
        } else if slots.are_scarce() {
            Err(Denied::Busy)
        } else if !self.has_share(service, now) {
            Err(Denied::Share)
        } else {
            Ok(())
        }
    }

    /// Counts a second attempt; returns false if the share of its service is used up.
    pub fn try_take(&mut self, service: &str, now: ids::Timestamp) -> bool {
        let has_share = self.has_share(service, now);
        if let Some(window) = self.services.get_mut(service).filter(|_| has_share) {
            window.hedges.push_back(now);
        }
        has_share
    }

    fn has_share(&mut self, service: &str, now: ids::Timestamp) -> bool {
        let since = now.saturating_sub(self.limits.window);
        let Some(window) = self.services.get_mut(service) else {
            return false;
        };
        window.expire(since);
        let allowed = count_f64(window.requests.len()) * self.limits.max_share;
        count_f64(window.hedges.len() + 1) <= allowed
    }

    fn drop_oldest_route(&mut self) {
        let oldest = self.routes.iter().min_by_key(|(_, usual)| usual.last_at());
        if let Some(oldest) = oldest.map(|(route, _)| route.clone()) {
            self.routes.remove(&oldest);
        }
    }
}

impl Window {
    fn expire(&mut self, before: ids::Timestamp) {
        while self.requests.front().is_some_and(|at| *at < before) {
            self.requests.pop_front();
        }
        while self.hedges.front().is_some_and(|at| *at < before) {
            self.hedges.pop_front();
        }
    }
}

/// Returns the time that a ratio of one stands for: at least a millisecond, also for calls, for which
/// nothing is expected.
fn unit(expected: time::Duration) -> time::Duration {
    expected.max(time::Duration::from_millis(1))
}

fn ratio(took: time::Duration, expected: time::Duration) -> f64 {
    took.as_secs_f64() / unit(expected).as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
const fn count_f64(count: usize) -> f64 {
    count as f64
}
