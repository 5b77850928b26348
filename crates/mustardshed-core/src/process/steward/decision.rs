//! Decisions and other effects of a steward.

use std::{collections, time};

use crate::{
    boundary::{backend_server, control, platform},
    error, ids,
    process::{action, queue},
};

/// Decision on one credit request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Who sent the request.
    pub requester: queue::Requester,
    /// The request.
    pub req: control::CreditRequest,
    /// Time from receipt to decision.
    pub waited: time::Duration,
    /// Epoch of the grant, or the refusal.
    pub result: Result<ids::Epoch, error::Error>,
}

impl Decision {
    /// Creates a refusal.
    pub fn refuse(waiter: queue::Waiter, refusal: &error::Error, now: ids::Timestamp) -> Self {
        Self::of(waiter, Err(refusal.clone()), now)
    }

    /// Creates a grant.
    pub fn grant(waiter: queue::Waiter, epoch: ids::Epoch, now: ids::Timestamp) -> Self {
        Self::of(waiter, Ok(epoch), now)
    }

    fn of(
        waiter: queue::Waiter,
        result: Result<ids::Epoch, error::Error>,
        now: ids::Timestamp,
    ) -> Self {
        Self {
            requester: waiter.requester,
            req: waiter.req,
            waited: now.saturating_sub(waiter.received_at),
            result,
        }
    }
}

/// Effects that a steward wants its node to carry out.
#[derive(Debug, Default)]
pub struct Effects {
    /// Decisions on credit requests.
    pub decisions: Vec<Decision>,
    /// Epoch of a new cold sign, and the holders of credits that may still be used.
    pub cold_sign: Option<(ids::Epoch, collections::BTreeSet<ids::VmId>)>,
    /// Members to query for their held credits.
    pub query: collections::BTreeSet<ids::VmId>,
    /// Load reads, cancellations and log entries.
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
