//! Queue of credit requests for one backend server.
//!
//! Requests are ordered by priority number, which drops by one for each [`AGING_STEP`] of waiting,
//! then by the tokens granted so far to the client account, divided by its weight, then by arrival.
//! A request that has waited for [`OVERDUE_AFTER`] goes before all others, and smaller ones may not
//! overtake it, so that no request starves.

use std::{collections, time};

use crate::{boundary::control, ids, mutation};

/// Maximum number of queued requests per server.
pub const MAX_WAITING: usize = 128;
/// Waiting time that lowers the priority number by one.
pub const AGING_STEP: time::Duration = time::Duration::from_secs(1);
/// Waiting time after which a request goes first and may not be overtaken.
pub const OVERDUE_AFTER: time::Duration = time::Duration::from_secs(4);

/// Who sent a credit request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Requester {
    /// A traffic thread of this process.
    Own {
        /// Identifier that matches the response to its request.
        ticket: u64,
    },
    /// Another entry.
    Peer {
        /// VM of the entry.
        vm: ids::VmId,
        /// Incarnation of its process.
        incarnation: ids::Incarnation,
        /// Identifier that matches the response to its request.
        ticket: u64,
    },
}

/// A queued credit request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Who sent it.
    pub requester: Requester,
    /// The request.
    pub req: control::CreditRequest,
    /// Time at which it was received.
    pub received_at: ids::Timestamp,
    /// Time at which it is refused if it was not granted.
    pub wait_until: ids::Timestamp,
}

impl Waiter {
    /// Returns whether it has waited for [`OVERDUE_AFTER`], so that no other may overtake it.
    pub fn is_overdue(&self, now: ids::Timestamp) -> bool {
        !mutation::on("aging_off") && now.saturating_sub(self.received_at) >= OVERDUE_AFTER
    }

    fn priority(&self, now: ids::Timestamp) -> u64 {
        if mutation::on("aging_off") {
            return u64::from(self.req.priority);
        }
        let steps = now.saturating_sub(self.received_at).as_millis() / AGING_STEP.as_millis();
        u64::from(self.req.priority).saturating_sub(u64::try_from(steps).unwrap_or(u64::MAX))
    }
}

/// Queued credit requests for one server.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: Vec<Waiter>,
    spent: collections::BTreeMap<ids::ClientAccountId, u64>,
    /// Spending from which an idle account starts again, so that it gains nothing from idling.
    virtual_time: u64,
}

impl Queue {
    /// Returns the number of queued requests.
    pub const fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether the queue is empty.
    pub const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the request at an index.
    pub fn get(&self, index: usize) -> Option<&Waiter> {
        self.waiters.get(index)
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request if [`MAX_WAITING`] others are queued.
    pub fn push(&mut self, waiter: Waiter) -> Result<(), Box<Waiter>> {
        if self.waiters.len() >= MAX_WAITING {
            return Err(Box::new(waiter));
        }
        let account = &waiter.req.account;
        if !self
            .waiters
            .iter()
            .any(|other| other.req.account == *account)
        {
            let spent = self.spent.entry(account.clone()).or_default();
            *spent = self.virtual_time.max(*spent);
        }
        self.waiters.push(waiter);
        Ok(())
    }

    /// Returns the indexes of the requests in serving order.
    pub fn serving_order(&self, now: ids::Timestamp) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiters.len()).collect();
        order.sort_by_key(|index| {
            let waiter = &self.waiters[*index];
            if waiter.is_overdue(now) {
                return (false, 0, 0, waiter.received_at);
            }
            let spent = self.spent.get(&waiter.req.account).copied();
            let spent = spent.unwrap_or_default();
            (true, waiter.priority(now), spent, waiter.received_at)
        });
        order
    }

    /// Removes a request that is granted, and charges its client account.
    pub fn serve(&mut self, index: usize, weight: u32) -> Waiter {
        let waiter = self.waiters.remove(index);
        let spent = self.spent.entry(waiter.req.account.clone()).or_default();
        self.virtual_time = self.virtual_time.max(*spent);
        *spent += cost(&waiter.req) / u64::from(weight.max(1));
        waiter
    }

    /// Removes and returns the requests for which `is_over` returns true.
    pub fn extract_if(&mut self, is_over: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let (over, kept) = self.waiters.drain(..).partition(is_over);
        self.waiters = kept;
        over
    }
}

/// Returns the cost of a request, in thousandths of a token.
fn cost(req: &control::CreditRequest) -> u64 {
    req.tokens
        .max(req.prefill_tokens)
        .max(1)
        .saturating_mul(1000)
}
