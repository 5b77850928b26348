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
pub const ANSWER_WITHIN: time::Duration = time::Duration::from_secs(1);
/// Wait after which a question without an answer is sent again.
const ASK_AGAIN_AFTER: time::Duration = time::Duration::from_millis(200);

/// Fates of this entry's requests, the oldest ended ones forgotten first.
#[derive(Debug, Default)]
pub struct Fates {
    fates: collections::HashMap<ids::RequestId, fate::Fate>,
    ended: collections::VecDeque<ids::RequestId>,
    questions: collections::BTreeMap<u64, Question>,
}

/// A question to the owner of a request.
#[derive(Clone, Debug)]
struct Question {
    request: ids::RequestId,
    owner: owner::Owner,
    until: ids::Timestamp,
    ask_at: ids::Timestamp,
}

/// A question that is to be sent now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
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
    pub fn ask(&mut self, ticket: u64, owner: owner::Owner, request: &str, now: ids::Timestamp) {
        let question = Question {
            request: request.to_owned(),
            owner,
            until: now + ANSWER_WITHIN,
            ask_at: now,
        };
        self.questions.insert(ticket, question);
    }

    /// Returns the questions that are to be sent now, to owners that can be asked.
    ///
    /// A question whose owner was not heard of yet waits for it, and one that stays without an
    /// answer is sent again, since a link that is being made loses what is sent.
    pub fn take_due(
        &mut self,
        now: ids::Timestamp,
        can_ask: impl Fn(&owner::Owner) -> bool,
    ) -> Vec<Ask> {
        let is_due = |question: &Question| now >= question.ask_at && can_ask(&question.owner);
        let mut due = Vec::new();
        for (ticket, question) in &mut self.questions {
            if is_due(question) {
                question.ask_at = now + ASK_AGAIN_AFTER;
                due.push(Ask {
                    ticket: *ticket,
                    vm: question.owner.vm.clone(),
                    request: question.request.clone(),
                });
            }
        }
        due
    }

    /// Takes an owner's answer; returns what the traffic thread is told, if it still waits.
    pub fn answered(
        &mut self,
        ticket: u64,
        vm: &str,
        fate: Option<fate::Fate>,
    ) -> Option<action::FateAnswer> {
        if self.questions.get(&ticket)?.owner.vm != vm {
            return None;
        }
        self.questions.remove(&ticket);
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
        self.questions.retain(|ticket, question| {
            let answer = match is_gone(&question.owner) {
                true => action::FateAnswer::OwnerGone,
                false if now >= question.until => unanswered_by_owner(),
                false => return true,
            };
            unanswered.push((*ticket, answer));
            false
        });
        unanswered
    }
}

/// Returns what a question comes to whose owner is alive but did not answer in time.
fn unanswered_by_owner() -> action::FateAnswer {
    if mutation::on("silent_owner_is_gone") {
        return action::FateAnswer::OwnerGone;
    }
    action::FateAnswer::Unanswered
}

fn is_ended(fate: &fate::Fate) -> bool {
    fate.outcome != outcome::Outcome::Running
}
