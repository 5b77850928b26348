//! Queries for fates, their answers, and timeouts of queries and credit requests to other entries.

use crate::{
    ids, mutation,
    process::{action, message, steward},
    request::owner,
};

use super::Node;

impl Node {
    /// Answers a traffic thread's query for the fate of a request, or asks the request's owner.
    pub(super) fn on_want_fate(
        &mut self,
        ticket: u64,
        request: &str,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let Some(owner) = owner::of(request) else {
            out.push(answer_fate(ticket, action::FateAnswer::NoSuchRequest));
            return;
        };
        let is_own_vm = owner.vm == self.identity.vm;
        if is_own_vm && owner.incarnation == self.identity.incarnation {
            let fate = self.fates.get(request).cloned();
            let result = fate.map_or(action::FateAnswer::NoSuchRequest, action::FateAnswer::Known);
            out.push(answer_fate(ticket, result));
            return;
        }
        if is_own_vm || self.cluster.members.has_ended(&owner.vm, owner.incarnation) {
            out.push(answer_fate(ticket, action::FateAnswer::OwnerGone));
            return;
        }
        self.fates.add_query(ticket, owner, request, now);
        self.send_due_queries(now, out);
    }

    /// Sends the queries for fates that are due.
    fn send_due_queries(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let members = &self.cluster.members;
        let can_ask = |owner: &owner::Owner| members.is_alive(&owner.vm, owner.incarnation);
        for query in self.fates.take_due(now, can_ask) {
            let message = message::Message::WantFate {
                ticket: query.ticket,
                request: query.request,
            };
            self.send(&query.vm, message, now, out);
        }
    }

    /// Answers a peer's query for the fate of a request of this incarnation.
    ///
    /// A query about a request of an earlier incarnation on this VM is not answered: this one knows
    /// nothing of it, and the peer will find that the owner is gone.
    pub(super) fn on_peer_want_fate(
        &mut self,
        vm: &ids::VmId,
        ticket: u64,
        request: &str,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let is_own =
            owner::of(request).is_some_and(|owner| owner.incarnation == self.identity.incarnation);
        if !is_own && !mutation::on("later_run_answers") {
            return;
        }
        let fate = self.fates.get(request).cloned();
        self.send(vm, message::Message::FateIs { ticket, fate }, now, out);
    }

    /// Answers the queries for fates and the credit requests that no other entry will answer any
    /// more, and repeats the queries for fates that are due.
    pub(super) fn expire_queries(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let members = &self.cluster.members;
        let has_ended = |owner: &owner::Owner| members.has_ended(&owner.vm, owner.incarnation);
        for (ticket, answer) in self.fates.take_unanswered(now, has_ended) {
            out.push(answer_fate(ticket, answer));
        }
        self.send_due_queries(now, out);
        let stewards = &self.stewards;
        let cluster = &self.cluster;
        let is_steward = |server: &str, vm: &str| {
            let is_chosen = stewards.of(server).is_some_and(|chosen| chosen == vm);
            is_chosen && cluster.can_ask(vm, now)
        };
        for ticket in self.holder.take_expired(now, is_steward) {
            let result = Err(steward::not_steward());
            out.push(action::Action::AnswerAcquire { ticket, result });
        }
    }

    /// Returns the steward of a server; `None` if there is none or it cannot be asked.
    pub(super) fn askable_steward(&self, server: &str, now: ids::Timestamp) -> Option<ids::VmId> {
        let steward = self.stewards.of(server)?;
        let can_ask = self.cluster.can_ask(steward, now);
        can_ask.then(|| steward.clone())
    }
}

const fn answer_fate(ticket: u64, result: action::FateAnswer) -> action::Action {
    action::Action::AnswerFate { ticket, result }
}
