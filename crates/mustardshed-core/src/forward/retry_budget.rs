//! Retry budget, which keeps retries from adding much to an overload.
//!
//! The fleet has one budget per service: a share of the requests in a sliding window, plus a fixed
//! allowance. Each entry spends its part of the allowance and the share of its own requests, so
//! that entries need not coordinate.

use std::{collections, time};

use crate::ids;

/// The fleet's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries allowed per request in a window.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio, by all entries together.
    pub allowance: f64,
    /// Length of the window.
    pub window: time::Duration,
}

/// Share of the fleet's budget that entries spend; the rest covers requests that are outside the
/// window of whoever checks the budget.
const USABLE_SHARE: f64 = 0.6;

/// Retries of one entry.
#[derive(Debug)]
pub struct RetryBudget {
    limits: Limits,
    services: collections::HashMap<ids::ServiceId, Window>,
}

#[derive(Debug, Default)]
struct Window {
    requests: collections::VecDeque<ids::Timestamp>,
    retries: collections::VecDeque<ids::Timestamp>,
}

impl RetryBudget {
    /// Makes a budget of which nothing is spent.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            services: collections::HashMap::new(),
        }
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, service: &str, now: ids::Timestamp) {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(now.saturating_sub(self.limits.window));
        window.requests.push_back(now);
    }

    /// Takes a retry out of the budget, given the number of entries that share the allowance.
    /// Returns false if the budget is spent.
    pub fn try_take(&mut self, service: &str, entries: usize, now: ids::Timestamp) -> bool {
        let has_room = self.has_room(service, entries, now);
        if let Some(window) = self.services.get_mut(service).filter(|_| has_room) {
            window.retries.push_back(now);
        }
        has_room
    }

    /// Returns whether a retry may be taken out of the budget.
    pub fn has_room(&mut self, service: &str, entries: usize, now: ids::Timestamp) -> bool {
        let window = self.services.entry(service.to_owned()).or_default();
        window.expire(now.saturating_sub(self.limits.window));
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let requests = u32::try_from(window.requests.len()).unwrap_or(u32::MAX);
        let retries = u32::try_from(window.retries.len()).unwrap_or(u32::MAX);
        let allowed =
            f64::from(requests) * self.limits.ratio + self.limits.allowance / f64::from(entries);
        f64::from(retries) + 1.0 <= allowed * USABLE_SHARE
    }
}

impl Window {
    fn expire(&mut self, before: ids::Timestamp) {
        while self.requests.front().is_some_and(|at| *at < before) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < before) {
            self.retries.pop_front();
        }
    }
}
