//! Credits: requested by traffic threads and peers, granted by stewards.

use std::time;

use crate::{
    boundary::{backend_server, control},
    error, ids,
    process::{action, credits, holder, message, queue, steward},
};

use super::Node;

impl Node {
    pub(super) fn assign_stewards(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let refusals = self
            .stewards
            .assign(self.servers.vms(), &self.cluster.members, now, out);
        for decision in refusals {
            self.answer(decision, now, out);
        }
    }

    pub(super) fn tick_stewards(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        for server in self.stewards.own_servers() {
            self.with_steward(&server, now, out, steward::Steward::tick);
        }
    }

    pub(super) fn on_load_read(
        &mut self,
        server: &str,
        begun_at: ids::Timestamp,
        result: Result<backend_server::LoadReport, backend_server::BackendServerError>,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        self.with_steward(server, now, out, |steward, rules, fx| {
            steward.on_load_read(begun_at, result, rules, fx);
        });
    }

    pub(super) fn on_acquire(
        &mut self,
        ticket: u64,
        req: control::CreditRequest,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let Some(steward) = self.askable_steward(&req.server, now) else {
            let result = Err(steward::not_steward());
            out.push(action::Action::AnswerAcquire { ticket, result });
            return;
        };
        if steward == self.identity.vm {
            let until = req.wait_until;
            self.enqueue_at_own_steward(queue::Requester::Own { ticket }, req, until, now, out);
            return;
        }
        let message = message::Message::Acquire {
            ticket,
            req: req.clone(),
            timeout: req.wait_until.saturating_sub(now),
        };
        self.holder.request_sent(ticket, req, steward.clone(), now);
        self.send(&steward, message, now, out);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one message")]
    pub(super) fn on_peer_acquire(
        &mut self,
        vm: &ids::VmId,
        incarnation: ids::Incarnation,
        ticket: u64,
        req: control::CreditRequest,
        timeout: time::Duration,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let asker = queue::Requester::Peer {
            vm: vm.clone(),
            incarnation,
            ticket,
        };
        self.enqueue_at_own_steward(asker, req, now.saturating_add(timeout), now, out);
    }

    /// Queues a credit request at this entry's steward, or refuses it if there is none.
    fn enqueue_at_own_steward(
        &mut self,
        asker: queue::Requester,
        req: control::CreditRequest,
        until: ids::Timestamp,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let server = req.server.clone();
        let waiting = queue::Waiter {
            requester: asker,
            req,
            received_at: now,
            wait_until: until,
        };
        if self.stewards.own_mut(&server).is_none() {
            let refusal = steward::Decision::refuse(waiting, &steward::not_steward(), now);
            self.answer(refusal, now, out);
            return;
        }
        self.with_steward(&server, now, out, |steward, rules, fx| {
            steward.request_credit(waiting, rules, fx);
        });
    }

    pub(super) fn on_acquired(
        &mut self,
        vm: &ids::VmId,
        answer: &holder::Response,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let ticket = answer.ticket;
        let is_awaited = match self.holder.on_response(answer, now) {
            holder::ResponseOutcome::Answered(result) => {
                out.push(action::Action::AnswerAcquire { ticket, result });
                return;
            }
            holder::ResponseOutcome::Ignored => return,
            holder::ResponseOutcome::TooLate { is_awaited } => is_awaited,
        };
        let message = message::Message::Release {
            request: answer.request.clone(),
            server: answer.server.clone(),
            feedback: unused_feedback(&answer.request, &answer.server),
        };
        self.send(vm, message, now, out);
        if is_awaited {
            let result = Err(steward::not_steward());
            out.push(action::Action::AnswerAcquire { ticket, result });
        }
    }

    pub(super) fn on_release(
        &mut self,
        credit: &control::Credit,
        feedback: control::Feedback,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        self.holder.release(&credit.server, &credit.request);
        if let Some(epoch) = feedback.epoch.filter(|epoch| *epoch != credit.epoch) {
            self.note_cold_sign(&credit.server, epoch, now);
        }
        let steward = self.stewards.of(&credit.server).cloned();
        match steward {
            Some(steward) if steward != self.identity.vm => {
                let message = message::Message::Release {
                    request: credit.request.clone(),
                    server: credit.server.clone(),
                    feedback,
                };
                self.send(&steward, message, now, out);
            }
            _ => self.release_to_steward(&credit.server, &credit.request, feedback, now, out),
        }
    }

    pub(super) fn release_to_steward(
        &mut self,
        server: &str,
        request: &str,
        feedback: control::Feedback,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        self.with_steward(server, now, out, |steward, rules, fx| {
            steward.release(request, &feedback, rules, fx);
        });
    }

    /// Reports this entry's credits on a server, if it considers the sender the server's steward.
    pub(super) fn report_held_credits(
        &mut self,
        vm: &ids::VmId,
        server: ids::BackendServerId,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        if self.stewards.of(&server) != Some(vm) {
            return;
        }
        let credits = self.held_credits(&server);
        let message = message::Message::HeldCredits { server, credits };
        self.send(vm, message, now, out);
    }

    fn held_credits(&self, server: &str) -> Vec<message::HeldCredit> {
        let mut credits = self.holder.held_credits_on(server);
        let granted = self.stewards.retired_credits_on(server).iter();
        credits.extend(granted.cloned());
        credits
    }

    pub(super) fn on_held_credits(
        &mut self,
        vm: &ids::VmId,
        server: &str,
        credits: &[message::HeldCredit],
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        self.with_steward(server, now, out, |steward, rules, fx| {
            steward.on_held_credits(vm, credits, rules, fx);
        });
    }

    pub(super) fn on_cold_sign(
        &mut self,
        server: &str,
        epoch: ids::Epoch,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        self.note_cold_sign(server, epoch, now);
        self.with_steward(server, now, out, |steward, rules, fx| {
            steward.observe_epoch(epoch, rules, fx);
        });
    }

    /// Records that a server turned cold, which traffic threads must see at once.
    fn note_cold_sign(&mut self, server: &str, epoch: ids::Epoch, now: ids::Timestamp) {
        self.servers.note_cold_sign(server, epoch, now);
        self.must_refresh_snapshot = true;
    }

    /// Calls `act` on this entry's steward of a server, if there is one, and applies the effects.
    fn with_steward(
        &mut self,
        server: &str,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
        act: impl FnOnce(&mut steward::Steward, &steward::Context<'_>, &mut steward::Effects),
    ) {
        let Some(steward) = self.stewards.own_mut(server) else {
            return;
        };
        let mut fx = steward::Effects::default();
        act(steward, &self.cluster.steward_context(now), &mut fx);
        self.apply_effects(server, fx, now, out);
    }

    fn apply_effects(
        &mut self,
        server: &str,
        fx: steward::Effects,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        out.extend(fx.actions);
        if let Some((epoch, holders)) = fx.cold_sign {
            self.note_cold_sign(server, epoch, now);
            for vm in holders {
                if vm == self.identity.vm {
                    continue;
                }
                let server = server.to_owned();
                self.send(&vm, message::Message::ColdSign { server, epoch }, now, out);
            }
        }
        for decision in fx.decisions {
            self.answer(decision, now, out);
        }
        for vm in fx.query {
            self.request_held_credits(&vm, server, now, out);
        }
    }

    fn request_held_credits(
        &mut self,
        vm: &ids::VmId,
        server: &str,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        if *vm == self.identity.vm {
            let credits = self.held_credits(server);
            self.on_held_credits(vm, server, &credits, now, out);
            return;
        }
        let server = server.to_owned();
        self.send(vm, message::Message::WantHeldCredits { server }, now, out);
    }

    /// Logs a steward's decision and sends it to the requester.
    fn answer(
        &mut self,
        decision: steward::Decision,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        out.push(decision_log(&decision));
        let steward::Decision {
            requester: asker,
            req,
            waited,
            result,
        } = decision;
        match asker {
            queue::Requester::Own { ticket } => {
                let use_by = now + credits::USE_WITHIN;
                let result = result.map(|epoch| self.holder.hold(&req, epoch, use_by, now));
                out.push(action::Action::AnswerAcquire { ticket, result });
            }
            queue::Requester::Peer { vm, ticket, .. } => {
                let message = message::Message::Acquired {
                    ticket,
                    request: req.request,
                    server: req.server,
                    waited,
                    result,
                };
                self.send(&vm, message, now, out);
            }
        }
    }
}

fn decision_log(decision: &steward::Decision) -> action::Action {
    let (granted, reason) = match &decision.result {
        Ok(epoch) => (true, format!("epoch {epoch}")),
        Err(error::Error { kind, message, .. }) => (false, format!("{kind}: {message}")),
    };
    action::Action::Log(action::LogEvent::CreditDecided {
        request: decision.req.request.clone(),
        server: decision.req.server.clone(),
        granted,
        reason,
    })
}

/// Returns the feedback on a credit that was not used.
fn unused_feedback(request: &str, server: &str) -> control::Feedback {
    control::Feedback {
        request: request.to_owned(),
        server: server.to_owned(),
        prefill_tokens: 0,
        first_token: None,
        epoch: None,
        failure: None,
    }
}
