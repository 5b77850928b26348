//! Credits of this entry's own requests: those that it asked for and those that it holds.

use std::{collections, time};

use crate::{
    boundary::control,
    error, ids, mutation,
    process::{credits, message},
};

/// Time beyond a request's patience for which an answer may be under way.
const RESPONSE_GRACE: time::Duration = time::Duration::from_millis(300);

/// A question to a steward on another entry.
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
    /// Prompt tokens to be prefilled.
    pub prefill_tokens: ids::Tokens,
    /// Time of the receipt.
    pub received_at: ids::Timestamp,
}

/// A steward's answer to a question of this entry.
#[derive(Clone, Debug)]
pub struct Response {
    /// Number of the question.
    pub ticket: u64,
    /// Request.
    pub request: ids::RequestId,
    /// Backend server.
    pub server: ids::BackendServerId,
    /// Time from the receipt of the question to the decision.
    pub waited: time::Duration,
    /// Epoch of the grant, or the refusal.
    pub result: Result<ids::Epoch, error::Error>,
}

/// What becomes of a steward's answer.
#[derive(Debug, PartialEq)]
pub enum ResponseOutcome {
    /// It goes to the traffic thread that asked.
    Answered(Result<control::Credit, error::Error>),
    /// It came too late; the credit goes back, and the thread, if it still waits, is refused.
    TooLate {
        /// Whether a thread still waits.
        is_awaited: bool,
    },
    /// It is a refusal for which nobody waits any more.
    Ignored,
}

/// Credits of this entry's own requests.
#[derive(Debug, Default)]
pub struct Holder {
    pending: collections::BTreeMap<u64, Pending>,
    held: collections::BTreeMap<(ids::BackendServerId, ids::RequestId), Held>,
}

impl Holder {
    /// Notes a question that was sent to a steward.
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

    /// Takes a steward's answer.
    ///
    /// The credit must be used within [`credits::USE_WITHIN`] of the grant. The grant came no
    /// earlier than the sending of the question plus the wait at the steward, so that counting
    /// from there is safe however long the answer took.
    pub fn on_response(&mut self, answer: &Response, now: ids::Timestamp) -> ResponseOutcome {
        let pending = match self.pending.get(&answer.ticket) {
            Some(pending) if pending.req.request == answer.request => {
                self.pending.remove(&answer.ticket)
            }
            _ => None,
        };
        let (pending, epoch) = match (pending, &answer.result) {
            (Some(_), Err(refusal)) => return ResponseOutcome::Answered(Err(refusal.clone())),
            (None, Err(_)) => return ResponseOutcome::Ignored,
            (None, Ok(_)) => return ResponseOutcome::TooLate { is_awaited: false },
            (Some(pending), Ok(epoch)) => (pending, *epoch),
        };
        let granted_at = if mutation::on("use_by_from_receipt") {
            now
        } else {
            pending.sent_at + answer.waited
        };
        let use_by = granted_at + credits::USE_WITHIN;
        if use_by <= now {
            return ResponseOutcome::TooLate { is_awaited: true };
        }
        ResponseOutcome::Answered(Ok(self.hold(&pending.req, epoch, use_by, now)))
    }

    /// Holds a credit for a request and returns it.
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

    /// Lets a credit go; returns whether it was held.
    pub fn release(&mut self, server: &str, request: &str) -> bool {
        let key = (server.to_owned(), request.to_owned());
        self.held.remove(&key).is_some()
    }

    /// Takes out the questions whose steward changed or that were not answered in time.
    pub fn take_expired(
        &mut self,
        now: ids::Timestamp,
        is_steward: impl Fn(&str, &str) -> bool,
    ) -> Vec<u64> {
        let mut unanswered = Vec::new();
        self.pending.retain(|ticket, pending| {
            let is_late = now >= pending.req.wait_until + RESPONSE_GRACE;
            let is_kept = !is_late && is_steward(&pending.req.server, &pending.steward);
            if !is_kept {
                unanswered.push(*ticket);
            }
            is_kept
        });
        unanswered
    }

    /// Returns the credits held on a server, with their requests.
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

    /// Returns the questions to the steward of a server that are not answered yet.
    pub fn pending_on<'a>(
        &'a self,
        server: &'a str,
    ) -> impl Iterator<Item = &'a control::CreditRequest> {
        let asked = self.pending.values().map(|pending| &pending.req);
        asked.filter(move |req| req.server == server)
    }

    /// Returns the credits held on a server as a steward is told of them.
    pub fn held_credits_on(&self, server: &str) -> Vec<message::HeldCredit> {
        self.on_server(server)
            .map(|(request, held)| message::HeldCredit {
                request: request.clone(),
                tokens: held.tokens,
            })
            .collect()
    }
}
