//! Callers that wait for a reply of the control thread.

use std::collections;

use mustardshed::core::{boundary::control, error, ids, process::action};
use tokio::sync::oneshot;

/// A caller that waits.
#[derive(Debug)]
enum Waiter {
    Credit(oneshot::Sender<Result<control::Credit, error::Error>>),
    Fate(oneshot::Sender<action::FateAnswer>),
    Acknowledgement(oneshot::Sender<Result<ids::Generation, error::Error>>),
}

/// Waiting callers by ticket, the number that matches a reply to its caller.
#[derive(Debug, Default)]
pub struct Pending {
    next_ticket: u64,
    waiters: collections::HashMap<u64, Waiter>,
}

impl Pending {
    /// Adds a caller that waits for a credit and returns its ticket.
    pub fn add_credit(
        &mut self,
        tx: oneshot::Sender<Result<control::Credit, error::Error>>,
    ) -> u64 {
        self.add(Waiter::Credit(tx))
    }

    /// Adds a caller that waits for a fate and returns its ticket.
    pub fn add_fate(&mut self, tx: oneshot::Sender<action::FateAnswer>) -> u64 {
        self.add(Waiter::Fate(tx))
    }

    /// Adds a caller that waits for an acknowledgement and returns its ticket.
    pub fn add_acknowledgement(
        &mut self,
        tx: oneshot::Sender<Result<ids::Generation, error::Error>>,
    ) -> u64 {
        self.add(Waiter::Acknowledgement(tx))
    }

    /// Sends a credit to its caller; returns it if the caller no longer waits for it.
    pub fn send_credit(
        &mut self,
        ticket: u64,
        result: Result<control::Credit, error::Error>,
    ) -> Option<control::Credit> {
        match self.waiters.remove(&ticket) {
            Some(Waiter::Credit(tx)) => tx.send(result).err().and_then(Result::ok),
            _ => result.ok(),
        }
    }

    /// Sends a fate to its caller.
    pub fn send_fate(&mut self, ticket: u64, answer: action::FateAnswer) {
        if let Some(Waiter::Fate(tx)) = self.waiters.remove(&ticket) {
            // A caller that left needs no reply.
            let _ = tx.send(answer);
        }
    }

    /// Sends an acknowledgement to its caller.
    pub fn send_acknowledgement(
        &mut self,
        ticket: u64,
        result: Result<ids::Generation, error::Error>,
    ) {
        if let Some(Waiter::Acknowledgement(tx)) = self.waiters.remove(&ticket) {
            // A caller that left needs no reply.
            let _ = tx.send(result);
        }
    }

    fn add(&mut self, waiter: Waiter) -> u64 {
        self.next_ticket += 1;
        self.waiters.insert(self.next_ticket, waiter);
        self.next_ticket
    }
}
