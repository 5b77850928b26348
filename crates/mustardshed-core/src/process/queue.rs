//! Requests for credits that wait at one backend server.
//!
//! The order is by priority, lowered by one for each [`AGING_STEP`] of waiting, then by what the
//! client account was given so far in tokens over its weight, then by arrival. Who has waited for
//! [`OVERDUE_AFTER`] comes before all others and is not passed by smaller ones, so that nobody
//! starves.

use std::{collections, time};

use crate::{boundary::control, ids, mutation};

/// Requests that wait at one server, at most.
pub const MAX_WAITING: usize = 128;
/// Waiting that lowers the priority number by one.
pub const AGING_STEP: time::Duration = time::Duration::from_secs(1);
/// Waiting after which a request comes first and is not passed.
pub const OVERDUE_AFTER: time::Duration = time::Duration::from_secs(4);

/// Who waits for an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Requester {
    /// A traffic thread of this process.
    Own {
        /// Number of its question.
        ticket: u64,
    },
    /// Another entry.
    Peer {
        /// Its VM.
        vm: ids::VmId,
        /// Its run.
        incarnation: ids::Incarnation,
        /// Number of its question.
        ticket: u64,
    },
}

/// A request that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Who asked.
    pub requester: Requester,
    /// What is asked.
    pub req: control::CreditRequest,
    /// Time of the receipt.
    pub received_at: ids::Timestamp,
    /// Time until which waiting makes sense.
    pub wait_until: ids::Timestamp,
}

impl Waiter {
    /// Returns whether it has waited for so long that nobody may pass it.
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

/// Requests that wait at one server.
#[derive(Debug, Default)]
pub struct Queue {
    waiters: Vec<Waiter>,
    spent: collections::BTreeMap<ids::ClientAccountId, u64>,
    virtual_time: u64,
}

impl Queue {
    /// Returns the number of requests that wait.
    pub const fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether nobody waits.
    pub const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the request at an index.
    pub fn get(&self, index: usize) -> Option<&Waiter> {
        self.waiters.get(index)
    }

    /// Adds a request; gives it back if the queue is full.
    ///
    /// # Errors
    ///
    /// Returns the request if [`MAX_WAITING`] others wait.
    pub fn push(&mut self, waiting: Waiter) -> Result<(), Box<Waiter>> {
        if self.waiters.len() >= MAX_WAITING {
            return Err(Box::new(waiting));
        }
        let account = &waiting.req.account;
        if !self
            .waiters
            .iter()
            .any(|other| other.req.account == *account)
        {
            let spent = self.spent.entry(account.clone()).or_default();
            *spent = self.virtual_time.max(*spent);
        }
        self.waiters.push(waiting);
        Ok(())
    }

    /// Returns the indexes of the requests in the order in which they are to be served.
    pub fn serving_order(&self, now: ids::Timestamp) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.waiters.len()).collect();
        order.sort_by_key(|index| {
            let waiting = &self.waiters[*index];
            if waiting.is_overdue(now) {
                return (false, 0, 0, waiting.received_at);
            }
            let spent = self.spent.get(&waiting.req.account).copied();
            let spent = spent.unwrap_or_default();
            (true, waiting.priority(now), spent, waiting.received_at)
        });
        order
    }

    /// Takes out a request that is served, and charges its account.
    pub fn serve(&mut self, index: usize, weight: u32) -> Waiter {
        let waiting = self.waiters.remove(index);
        let spent = self.spent.entry(waiting.req.account.clone()).or_default();
        self.virtual_time = self.virtual_time.max(*spent);
        *spent += cost(&waiting.req) / u64::from(weight.max(1));
        waiting
    }

    /// Takes out the requests for which `is_over` holds.
    pub fn extract_if(&mut self, is_over: impl Fn(&Waiter) -> bool) -> Vec<Waiter> {
        let (over, kept) = self.waiters.drain(..).partition(is_over);
        self.waiters = kept;
        over
    }
}

/// Returns the work of a request, in thousandths of a token.
fn cost(req: &control::CreditRequest) -> u64 {
    req.tokens
        .max(req.prefill_tokens)
        .max(1)
        .saturating_mul(1000)
}
