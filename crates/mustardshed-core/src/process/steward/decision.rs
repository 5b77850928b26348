//! What a steward decides and wants done.

use std::{collections, time};

use crate::{
    boundary::{backend_server, control, platform},
    error, ids,
    process::{action, queue},
};

/// Answer to one request for a credit.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Who asked.
    pub requester: queue::Requester,
    /// What was asked.
    pub req: control::CreditRequest,
    /// Time from the receipt of the question to the decision.
    pub waited: time::Duration,
    /// Epoch of the grant, or the refusal.
    pub result: Result<ids::Epoch, error::Error>,
}

impl Decision {
    /// Refuses a request.
    pub fn refuse(waiting: queue::Waiter, refusal: &error::Error, now: ids::Timestamp) -> Self {
        Self::of(waiting, Err(refusal.clone()), now)
    }

    /// Grants a request.
    pub fn grant(waiting: queue::Waiter, epoch: ids::Epoch, now: ids::Timestamp) -> Self {
        Self::of(waiting, Ok(epoch), now)
    }

    fn of(
        waiting: queue::Waiter,
        result: Result<ids::Epoch, error::Error>,
        now: ids::Timestamp,
    ) -> Self {
        Self {
            requester: waiting.requester,
            req: waiting.req,
            waited: now.saturating_sub(waiting.received_at),
            result,
        }
    }
}

/// What a steward wants done.
#[derive(Debug, Default)]
pub struct Effects {
    /// Answers to requests for credits.
    pub decisions: Vec<Decision>,
    /// A new sign of cold, with the holders of credits that may still be used.
    pub cold_sign: Option<(ids::Epoch, collections::BTreeSet<ids::VmId>)>,
    /// Members to be asked for their credits.
    pub query: collections::BTreeSet<ids::VmId>,
    /// Reads, cancellations and log entries.
    pub actions: Vec<action::Action>,
}

impl Effects {
    pub(super) fn decide(&mut self, decision: Decision) {
        self.decisions.push(decision);
    }

    pub(super) fn log_server(&mut self, server: &str, state: &'static str, reason: &str) {
        self.actions
            .push(action::Action::Log(action::LogEvent::ServerChanged {
                server: server.to_owned(),
                state,
                reason: reason.to_owned(),
            }));
    }

    pub(super) fn reap(&mut self, vm: &platform::Vm, held: backend_server::HeldRequest) {
        let address = vm.address.clone();
        let request = held.id.clone();
        self.actions
            .push(action::Action::Log(action::LogEvent::Reaped {
                server: vm.id.clone(),
                request: held.id,
            }));
        self.actions.push(if held.reservation {
            action::Action::ReleaseReservation { address, request }
        } else {
            action::Action::Cancel { address, request }
        });
    }
}
