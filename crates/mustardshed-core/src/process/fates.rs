//! Fates of this entry's requests, and questions to other entries for those of theirs.

use std::{collections, time};

use crate::{ids, outcome, process::action, request::fate};

/// Fates that one process keeps, at most.
pub const MAX_FATES: usize = 65_536;
/// Longest wait for an owner's answer.
pub const ANSWER_WITHIN: time::Duration = time::Duration::from_secs(1);

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
    owner: ids::VmId,
    until: ids::Timestamp,
}

impl Fates {
    /// Keeps the present fate of a request of this entry.
    pub fn record(&mut self, fate: fate::Fate) {
        let is_ended = is_ended(&fate);
        let request = fate.request.clone();
        let earlier = self.fates.insert(request.clone(), fate);
        if is_ended && !earlier.as_ref().is_some_and(self::is_ended) {
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

    /// Notes a question that was sent to the owner of a request.
    pub fn asked(&mut self, ticket: u64, owner: ids::VmId, now: ids::Timestamp) {
        let until = now + ANSWER_WITHIN;
        self.questions.insert(ticket, Question { owner, until });
    }

    /// Takes an owner's answer; returns what the traffic thread is told, if it still waits.
    pub fn answered(
        &mut self,
        ticket: u64,
        vm: &str,
        fate: Option<fate::Fate>,
    ) -> Option<action::FateAnswer> {
        if self.questions.get(&ticket)?.owner != vm {
            return None;
        }
        self.questions.remove(&ticket);
        Some(match fate {
            Some(fate) => action::FateAnswer::Known(fate),
            None => action::FateAnswer::NoSuchRequest,
        })
    }

    /// Takes out the questions that were not answered in time or whose owner is gone.
    pub fn take_unanswered(
        &mut self,
        now: ids::Timestamp,
        is_gone: impl Fn(&str) -> bool,
    ) -> Vec<u64> {
        let mut unanswered = Vec::new();
        self.questions.retain(|ticket, question| {
            let is_kept = now < question.until && !is_gone(&question.owner);
            if !is_kept {
                unanswered.push(*ticket);
            }
            is_kept
        });
        unanswered
    }
}

fn is_ended(fate: &fate::Fate) -> bool {
    fate.outcome != outcome::Outcome::Running
}
