//! Fates of this entry's requests, and queries to other entries for the fates of theirs.

use std::{collections, time};

use crate::{
    ids, mutation, outcome,
    process::action,
    request::{fate, owner},
};

/// Most fates that one process keeps.
pub const MAX_FATES: usize = 65_536;
/// Time after which a query counts as unanswered.
pub const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Time after which an unanswered query is sent again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Fates of this entry's requests, and pending queries to other entries.
///
/// Beyond [`MAX_FATES`] the requests that ended first are evicted; running ones never are.
#[derive(Debug, Default)]
pub struct Fates {
    fates: collections::HashMap<ids::RequestId, fate::Fate>,
    ended: collections::VecDeque<ids::RequestId>,
    pending: collections::BTreeMap<u64, PendingQuery>,
}

/// An unanswered query to the owner of a request.
#[derive(Clone, Debug)]
struct PendingQuery {
    request: ids::RequestId,
    owner: owner::Owner,
    deadline: ids::Timestamp,
    send_at: ids::Timestamp,
}

/// A query that is due to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Query {
    /// Matches the answer to this query.
    pub ticket: u64,
    /// VM of the request's owner.
    pub vm: ids::VmId,
    /// Request.
    pub request: ids::RequestId,
}

impl Fates {
    /// Records the current fate of a request of this entry.
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

    /// Adds a query to the owner of a request; [`Fates::take_due`] returns it at once.
    pub fn add_query(
        &mut self,
        ticket: u64,
        owner: owner::Owner,
        request: &str,
        now: ids::Timestamp,
    ) {
        let query = PendingQuery {
            request: request.to_owned(),
            owner,
            deadline: now + ANSWER_TIMEOUT,
            send_at: now,
        };
        self.pending.insert(ticket, query);
    }

    /// Returns the queries that are due now and whose owners can be asked.
    ///
    /// A query whose owner was not heard of yet waits until it is. An unanswered query is sent
    /// again, since a link that is still being opened drops messages.
    pub fn take_due(
        &mut self,
        now: ids::Timestamp,
        can_ask: impl Fn(&owner::Owner) -> bool,
    ) -> Vec<Query> {
        let is_due = |query: &PendingQuery| now >= query.send_at && can_ask(&query.owner);
        let mut due = Vec::new();
        for (ticket, query) in &mut self.pending {
            if is_due(query) {
                query.send_at = now + RETRY_INTERVAL;
                due.push(Query {
                    ticket: *ticket,
                    vm: query.owner.vm.clone(),
                    request: query.request.clone(),
                });
            }
        }
        due
    }

    /// Handles an owner's answer; returns the answer for the traffic thread, if it still waits.
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

    /// Removes the queries that timed out or whose owner is gone, and returns their answers.
    pub fn take_unanswered(
        &mut self,
        now: ids::Timestamp,
        is_gone: impl Fn(&owner::Owner) -> bool,
    ) -> Vec<(u64, action::FateAnswer)> {
        let mut unanswered = Vec::new();
        self.pending.retain(|ticket, query| {
            let answer = match is_gone(&query.owner) {
                true => action::FateAnswer::OwnerGone,
                false if now >= query.deadline => timeout_answer(),
                false => return true,
            };
            unanswered.push((*ticket, answer));
            false
        });
        unanswered
    }
}

/// Returns the answer to a query that timed out while its owner is not known to have ended.
fn timeout_answer() -> action::FateAnswer {
    if mutation::on("silent_owner_is_gone") {
        return action::FateAnswer::OwnerGone;
    }
    action::FateAnswer::Unanswered
}

fn is_ended(fate: &fate::Fate) -> bool {
    fate.outcome != outcome::Outcome::Running
}
