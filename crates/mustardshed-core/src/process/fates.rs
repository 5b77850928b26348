//! Fates of this entry's requests, and questions to other entries for those of theirs.

use std::{collections, time};

use crate::{
    ids, mutation, outcome,
    process::action,
    request::{fate, owner},
};

/// Greatest number of fates that one process keeps.
pub const MAX_FATES: usize = 65_536;
/// Longest wait for an owner's answer.
pub const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Wait after which a question without an answer is sent again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Fates of this entry's requests, the oldest ended ones forgotten first.
#[derive(Debug, Default)]
pub struct Fates {
    fates: collections::HashMap<ids::RequestId, fate::Fate>,
    ended: collections::VecDeque<ids::RequestId>,
    pending: collections::BTreeMap<u64, PendingQuery>,
}

/// A question to the owner of a request.
#[derive(Clone, Debug)]
struct PendingQuery {
    request: ids::RequestId,
    owner: owner::Owner,
    deadline: ids::Timestamp,
    send_at: ids::Timestamp,
}

/// A question that is to be sent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Number of the question.
    pub ticket: u64,
    /// VM of the request's owner.
    pub vm: ids::VmId,
    /// Request.
    pub request: ids::RequestId,
}

impl Fates {
    /// Keeps the present fate of a request of this entry.
    pub fn record(&mut self, fate: fate::Fate) {
        let has_ended = is_ended(&fate);
        let request = fate.request.clone();
        if mutation::on("fate_not_updated") && self.fates.contains_key(&request) {
            return;
        }
        let earlier = self.fates.insert(request.clone(), fate);
        if has_ended && !earlier.as_ref().is_some_and(is_ended) {
            self.ended.push_back(request);
        }
        while self.fates.len() > MAX_FATES {
            let Some(oldest) = self.ended.pop_front() else {
                return;
            };
            self.fates.remove(&oldest);
        }
    }

    /// Returns the fate of a request of this entry.
    pub fn get(&self, request: &str) -> Option<&fate::Fate> {
        self.fates.get(request)
    }

    /// Notes a question to the owner of a request; [`Fates::take_due`] returns it at once.
    pub fn add_query(
        &mut self,
        ticket: u64,
        owner: owner::Owner,
        request: &str,
        now: ids::Timestamp,
    ) {
        let question = PendingQuery {
            request: request.to_owned(),
            owner,
            deadline: now + ANSWER_TIMEOUT,
            send_at: now,
        };
        self.pending.insert(ticket, question);
    }

    /// Returns the questions that are to be sent now, to owners that can be asked.
    ///
    /// A question whose owner was not heard of yet waits for it, and one that stays without an
    /// answer is sent again, since a link that is being made loses what is sent.
    pub fn take_due(
        &mut self,
        now: ids::Timestamp,
        can_ask: impl Fn(&owner::Owner) -> bool,
    ) -> Vec<Query> {
        let is_due = |question: &PendingQuery| now >= question.send_at && can_ask(&question.owner);
        let mut due = Vec::new();
        for (ticket, question) in &mut self.pending {
            if is_due(question) {
                question.send_at = now + RETRY_INTERVAL;
                due.push(Query {
                    ticket: *ticket,
                    vm: question.owner.vm.clone(),
                    request: question.request.clone(),
                });
            }
        }
        due
    }

    /// Takes an owner's answer; returns what the traffic thread is told, if it still waits.
    pub fn on_answer(
        &mut self,
        ticket: u64,
        vm: &str,
        fate: Option<fate::Fate>,
    ) -> Option<action::FateAnswer> {
        if self.pending.get(&ticket)?.owner.vm != vm {
            return None;
        }
        self.pending.remove(&ticket);
        Some(match fate {
            Some(fate) => action::FateAnswer::Known(fate),
            None => action::FateAnswer::NoSuchRequest,
        })
    }

    /// Takes out the questions that were not answered in time or whose owner is gone, and returns
    /// their answers.
    pub fn take_unanswered(
        &mut self,
        now: ids::Timestamp,
        is_gone: impl Fn(&owner::Owner) -> bool,
    ) -> Vec<(u64, action::FateAnswer)> {
        let mut unanswered = Vec::new();
        self.pending.retain(|ticket, question| {
            let answer = match is_gone(&question.owner) {
                true => action::FateAnswer::OwnerGone,
                false if now >= question.deadline => timeout_answer(),
                false => return true,
            };
            unanswered.push((*ticket, answer));
            false
        });
        unanswered
    }
}

/// Returns what a question comes to whose owner is alive but did not answer in time.
fn timeout_answer() -> action::FateAnswer {
    if mutation::on("silent_owner_is_gone") {
        return action::FateAnswer::OwnerGone;
    }
    action::FateAnswer::Unanswered
}

fn is_ended(fate: &fate::Fate) -> bool {
    fate.outcome != outcome::Outcome::Running
}
