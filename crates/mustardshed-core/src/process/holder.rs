//! Credits for this entry's own requests: those requested from stewards and those held.

use std::{collections, time};

use crate::{
    boundary::control,
    error, ids, mutation,
    process::{credits, message},
};

/// Time past a request's `wait_until` for which a response may still arrive.
const RESPONSE_GRACE: time::Duration = time::Duration::from_millis(300);

/// A credit request sent to the steward on another entry.
#[derive(Clone, Debug)]
struct Pending {
    req: control::CreditRequest,
    steward: ids::VmId,
    sent_at: ids::Timestamp,
}

/// A credit that this entry holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// KV memory in tokens.
    pub tokens: ids::Tokens,
    /// Prompt tokens to prefill.
    pub prefill_tokens: ids::Tokens,
    /// Time at which it was received.
    pub received_at: ids::Timestamp,
}

/// A steward's response to a credit request of this entry.
#[derive(Clone, Debug)]
pub struct Response {
    /// Identifier that matches the response to its request.
    pub ticket: u64,
    /// Request.
    pub request: ids::RequestId,
    /// Backend server.
    pub server: ids::BackendServerId,
    /// Time that the steward took from receipt to decision.
    pub waited: time::Duration,
    /// Epoch of the grant, or the refusal.
    pub result: Result<ids::Epoch, error::Error>,
}

/// What to do with a steward's response.
#[derive(Debug, PartialEq)]
pub enum ResponseOutcome {
    /// Pass it to the traffic thread that waits for it.
    Answered(Result<control::Credit, error::Error>),
    /// It came too late: release the credit, and refuse the thread if it still waits.
    TooLate {
        /// Whether a traffic thread still waits.
        is_awaited: bool,
    },
    /// Drop it: it is a refusal, and no thread waits any more.
    Ignored,
}

/// Credits for this entry's own requests.
#[derive(Debug, Default)]
pub struct Holder {
    pending: collections::BTreeMap<u64, Pending>,
    held: collections::BTreeMap<(ids::BackendServerId, ids::RequestId), Held>,
}

impl Holder {
    /// Records a credit request that was sent to a steward.
    pub fn request_sent(
        &mut self,
        ticket: u64,
        req: control::CreditRequest,
        steward: ids::VmId,
        now: ids::Timestamp,
    ) {
        let pending = Pending {
            req,
            steward,
            sent_at: now,
        };
        self.pending.insert(ticket, pending);
    }

    /// Handles a steward's response.
    ///
    /// A credit must be used within [`credits::USE_WITHIN`] of its grant. The grant is no earlier
    /// than the send of the request plus the wait at the steward, so counting from there is safe
    /// however long the response took.
    pub fn on_response(&mut self, response: &Response, now: ids::Timestamp) -> ResponseOutcome {
        let pending = match self.pending.get(&response.ticket) {
            Some(pending) if pending.req.request == response.request => {
                self.pending.remove(&response.ticket)
            }
            _ => None,
        };
        let (pending, epoch) = match (pending, &response.result) {
            (Some(_), Err(refusal)) => return ResponseOutcome::Answered(Err(refusal.clone())),
            (None, Err(_)) => return ResponseOutcome::Ignored,
            (None, Ok(_)) => return ResponseOutcome::TooLate { is_awaited: false },
            (Some(pending), Ok(epoch)) => (pending, *epoch),
        };
        let granted_at = if mutation::on("use_by_from_receipt") {
            now
        } else {
            pending.sent_at + response.waited
        };
        let use_by = granted_at + credits::USE_WITHIN;
        if use_by <= now {
            return ResponseOutcome::TooLate { is_awaited: true };
        }
        ResponseOutcome::Answered(Ok(self.hold(&pending.req, epoch, use_by, now)))
    }

    /// Records that this entry holds a credit for a request, and returns the credit.
    pub fn hold(
        &mut self,
        req: &control::CreditRequest,
        epoch: ids::Epoch,
        use_by: ids::Timestamp,
        now: ids::Timestamp,
    ) -> control::Credit {
        let held = Held {
            tokens: req.tokens,
            prefill_tokens: req.prefill_tokens,
            received_at: now,
        };
        self.held
            .insert((req.server.clone(), req.request.clone()), held);
        control::Credit {
            request: req.request.clone(),
            server: req.server.clone(),
            tokens: req.tokens,
            epoch,
            use_by,
        }
    }

    /// Removes a credit; returns whether it was held.
    pub fn release(&mut self, server: &str, request: &str) -> bool {
        let key = (server.to_owned(), request.to_owned());
        self.held.remove(&key).is_some()
    }

    /// Removes the requests whose steward changed or that got no response in time; returns their
    /// tickets.
    pub fn take_expired(
        &mut self,
        now: ids::Timestamp,
        is_steward: impl Fn(&str, &str) -> bool,
    ) -> Vec<u64> {
        let mut expired = Vec::new();
        self.pending.retain(|ticket, pending| {
            let is_late = now >= pending.req.wait_until + RESPONSE_GRACE;
            let is_kept = !is_late && is_steward(&pending.req.server, &pending.steward);
            if !is_kept {
                expired.push(*ticket);
            }
            is_kept
        });
        expired
    }

    /// Returns the credits held on a server, by request.
    pub fn on_server<'a>(
        &'a self,
        server: &'a str,
    ) -> impl Iterator<Item = (&'a ids::RequestId, &'a Held)> {
        let from = (server.to_owned(), ids::RequestId::new());
        self.held
            .range(from..)
            .take_while(move |((other, _), _)| other == server)
            .map(|((_, request), held)| (request, held))
    }

    /// Returns the requests to the steward of a server that have no response yet.
    pub fn pending_on<'a>(
        &'a self,
        server: &'a str,
    ) -> impl Iterator<Item = &'a control::CreditRequest> {
        let pending_requests = self.pending.values().map(|pending| &pending.req);
        pending_requests.filter(move |req| req.server == server)
    }

    /// Returns the credits held on a server, in the form in which they are reported to its steward.
    pub fn held_credits_on(&self, server: &str) -> Vec<message::HeldCredit> {
        self.on_server(server)
            .map(|(request, held)| message::HeldCredit {
                request: request.clone(),
                tokens: held.tokens,
            })
            .collect()
    }
}
