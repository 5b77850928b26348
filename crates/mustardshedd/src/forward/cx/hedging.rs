//! Limits of retries and of second attempts beside the first.

use std::time;

use mustardshed::{
    config::forwarding,
    core::{forward::hedging, ids},
};

use crate::forward::{
    cx::{Cx, State},
    exchange::content,
};

/// Returns the state of second attempts, if the settings allow these.
pub(super) fn open(settings: &forwarding::Forwarding) -> Option<hedging::Hedging> {
    let limits = settings.hedging?;
    Some(hedging::Hedging::new(hedging::Limits {
        max_share: limits.max_share,
        min_delay: limits.min_delay,
        window: settings.bounds.retry_window,
    }))
}

impl State {
    /// Records a request to a service in the limits of retries and of second attempts.
    pub fn record_request(&mut self, service: &str, now: ids::Timestamp) {
        self.retry_budget.record_request(service, now);
        if let Some(hedging) = &mut self.hedging {
            hedging.record_request(service, now);
        }
    }

    /// Returns the number of entries that share what all of them may spend.
    fn registered_entries(&self, now: ids::Timestamp) -> usize {
        let alive = self.live_entries.alive_count(now) + 1;
        self.view.members().len().max(alive)
    }

    /// Returns the slots of a service's servers that accept work, without those already tried.
    fn slots(
        &self,
        service: &str,
        tried: &[ids::BackendServerId],
        now: ids::Timestamp,
    ) -> hedging::Slots {
        let servers = self.view.servers_of(service, now);
        let servers = servers.filter(|server| {
            let is_ejected = self.loads.health(&server.id).is_ejected(now);
            !tried.contains(&server.id) && self.notices.allows(server, now) && !is_ejected
        });
        let mut slots = hedging::Slots::default();
        for server in servers {
            let of_server = usize::try_from(server.slots).unwrap_or(usize::MAX);
            slots.total += of_server;
            slots.taken += self.loads.in_flight(&server.id).min(of_server);
        }
        slots
    }
}

impl Cx {
    /// Takes one retry for a service out of the retry budget; returns whether there was one.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.state();
        let registered = state.registered_entries(now);
        state.retry_budget.try_take(service, registered, now)
    }

    /// Returns the time after which a second attempt on a route is due; none until that is known, or
    /// without second attempts.
    #[must_use]
    pub fn hedge_due_after(&self, route: &str, expected: time::Duration) -> Option<time::Duration> {
        let state = self.state();
        state.hedging.as_ref()?.due_after(route, expected)
    }

    /// Records how long an answer took, or a first attempt that was cancelled.
    pub fn record_answer_time(&self, route: &str, took: time::Duration, expected: time::Duration) {
        let now = self.now();
        if let Some(hedging) = &mut self.state().hedging {
            hedging.record_answer(route, took, expected, now);
        }
    }

    /// Checks whether a second attempt that is due may be placed.
    ///
    /// # Errors
    ///
    /// Returns the limit that forbids it.
    pub fn check_hedge(
        &self,
        service: &str,
        tried: &[ids::BackendServerId],
        content: &content::Content,
    ) -> Result<(), hedging::Denied> {
        let is_repeated = self.is_suspected(content);
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        let is_suspected = is_repeated || state.quarantine.suspects_any(content.shared_parts());
        let slots = state.slots(service, tried, now);
        let registered = state.registered_entries(now);
        let Some(hedging) = &mut state.hedging else {
            return Err(hedging::Denied::Share);
        };
        hedging.check(service, slots, is_suspected, now)?;
        let has_room = state.retry_budget.has_room(service, registered, now);
        has_room.then_some(()).ok_or(hedging::Denied::RetryBudget)
    }

    /// Takes a second attempt out of the retry budget and the share of its service.
    ///
    /// # Errors
    ///
    /// Returns the limit that forbids it.
    pub fn take_hedge(&self, service: &str) -> Result<(), hedging::Denied> {
        if !self.take_retry(service) {
            return Err(hedging::Denied::RetryBudget);
        }
        let now = self.now();
        let mut state = self.state();
        let hedging = state.hedging.as_mut();
        let is_taken = hedging.is_some_and(|hedging| hedging.try_take(service, now));
        is_taken.then_some(()).ok_or(hedging::Denied::Share)
    }
}
