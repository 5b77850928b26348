//! Fates that entries answer, compared with what traffic threads and engines know.

use std::{collections, time};

use mustardshed_core::{
    ids, outcome,
    process::{action, event, fates, members, node},
    request::{fate, owner},
};

use super::{Fleet, Run, Task};

/// Longest time from a query to its answer.
const ANSWERED_WITHIN: time::Duration =
    time::Duration::from_millis(fates::ANSWER_TIMEOUT.as_millis() as u64 + 200);
/// Time within which entries hear of a new process, or of all others again after a fault.
const HEARD_WITHIN: time::Duration = time::Duration::from_secs(2);
/// Duration of a disruption after which a running process may be considered dead.
const LOOKS_DEAD_AFTER: time::Duration =
    members::DEAD_AFTER.saturating_sub(node::HEARTBEAT_INTERVAL);

/// What is known of the fates of requests, and what was answered.
#[derive(Debug, Default)]
pub struct Fates {
    /// Answers that were wrong, or that said nothing although the owner could be asked.
    pub wrong_answers: Vec<String>,
    requests: Vec<ids::RequestId>,
    ends: collections::BTreeMap<ids::RequestId, (ids::Timestamp, outcome::Outcome)>,
    accepted: collections::BTreeSet<ids::RequestId>,
    finished: collections::BTreeSet<ids::RequestId>,
    answered_not_run: collections::BTreeSet<ids::RequestId>,
    queries: collections::BTreeMap<u64, Query>,
    disruption: Disruption,
}

/// A pending query.
#[derive(Clone, Debug)]
struct Query {
    requester: Run,
    request: ids::RequestId,
    sent_at: ids::Timestamp,
}

/// The latest period in which links were cut or slow, or processes were frozen.
#[derive(Clone, Copy, Debug, Default)]
struct Disruption {
    since: Option<ids::Timestamp>,
    lasted: time::Duration,
    ended_at: ids::Timestamp,
}

impl Disruption {
    fn note(&mut self, is_disrupted: bool, now: ids::Timestamp) {
        match (self.since, is_disrupted) {
            (None, true) => self.since = Some(now),
            (Some(since), false) => {
                self.since = None;
                self.lasted = now - since;
                self.ended_at = now;
            }
            _ => {}
        }
    }

    fn was_active_since(&self, from: ids::Timestamp) -> bool {
        self.since.is_some() || self.ended_at > from
    }

    /// Returns whether a running process may be considered dead.
    fn may_look_dead(&self, now: ids::Timestamp) -> bool {
        let is_just_over = now < self.ended_at + HEARD_WITHIN && !self.ended_at.is_zero();
        let is_long = self
            .since
            .is_some_and(|since| now >= since + LOOKS_DEAD_AFTER);
        is_long || (is_just_over && self.lasted >= LOOKS_DEAD_AFTER)
    }
}

impl Fleet {
    /// Lets a caller ask an entry for the fate of the request `back` places before the latest.
    pub fn ask_fate(&mut self, vm: &str, back: usize) {
        let index = self.fates.requests.len().checked_sub(1 + back);
        let request = index.and_then(|index| self.fates.requests.get(index).cloned());
        let Some((request, process)) = request.zip(self.processes.get(vm)) else {
            return;
        };
        let run = (vm.to_owned(), process.incarnation);
        self.counter += 1;
        let ticket = self.counter;
        let query = Query {
            requester: run.clone(),
            request: request.clone(),
            sent_at: self.now,
        };
        self.fates.queries.insert(ticket, query);
        let event = event::Event::WantFate { ticket, request };
        self.schedule(self.now, run, Task::Handle(event));
    }

    pub(super) fn note_disruption(&mut self) {
        let is_frozen = self.processes.values().any(|process| process.is_frozen);
        let is_disrupted = is_frozen || self.network.is_disrupted();
        self.fates.disruption.note(is_disrupted, self.now);
    }

    pub(super) fn note_begun(&mut self, run: &Run, request: &str) {
        self.fates.requests.push(request.to_owned());
        self.record_fate(run, request, outcome::Outcome::Running);
    }

    pub(super) fn note_accepted(&mut self, request: &str) {
        self.fates.accepted.insert(request.to_owned());
        if self.fates.answered_not_run.contains(request) {
            let wrong = format!("{request} ran although an entry answered that it did not");
            self.fates.wrong_answers.push(wrong);
        }
    }

    pub(super) fn note_finished(&mut self, request: &str) {
        self.fates.finished.insert(request.to_owned());
    }

    pub(super) fn note_ended(&mut self, run: &Run, request: &str, outcome: outcome::Outcome) {
        let end = (self.now, outcome);
        self.fates.ends.insert(request.to_owned(), end);
        self.record_fate(run, request, outcome);
    }

    fn record_fate(&mut self, run: &Run, request: &str, outcome: outcome::Outcome) {
        let fate = fate::Fate {
            request: request.into(),
            account: "c".into(),
            outcome,
            error: None,
            servers: Vec::new(),
            stored_response: None,
        };
        self.schedule(
            self.now,
            run.clone(),
            Task::Handle(event::Event::Fate(fate)),
        );
    }

    pub(super) fn on_fate_answer(&mut self, ticket: u64, answer: &action::FateAnswer) {
        let Some(query) = self.fates.queries.remove(&ticket) else {
            self.fates
                .wrong_answers
                .push(format!("{ticket} answered twice"));
            return;
        };
        let is_true = match answer {
            action::FateAnswer::Known(fate) => self.is_fate_true(&query, fate),
            action::FateAnswer::NoSuchRequest => false,
            action::FateAnswer::OwnerGone => self.may_be_gone(&query),
            action::FateAnswer::Unanswered => self.may_be_unanswered(&query),
        };
        if !is_true {
            self.fates
                .wrong_answers
                .push(format!("{answer:?} at {:?} to {query:?}", self.now));
        }
    }

    fn is_fate_true(&mut self, query: &Query, fate: &fate::Fate) -> bool {
        let request = &query.request;
        let fates = &mut self.fates;
        let end = fates.ends.get(request);
        let matches_end = match fate.outcome {
            outcome::Outcome::Running => end.is_none_or(|(at, _)| *at >= query.sent_at),
            outcome => end.is_some_and(|(_, known)| *known == outcome),
        };
        let has_finished = fates.finished.contains(request);
        let matches_engine = match fate.outcome {
            outcome::Outcome::Completed => has_finished,
            outcome::Outcome::NotRun => !fates.accepted.contains(request),
            _ => true,
        };
        if fate.outcome == outcome::Outcome::NotRun {
            fates.answered_not_run.insert(request.clone());
        }
        fate.request == *request && matches_end && matches_engine
    }

    fn may_be_gone(&self, query: &Query) -> bool {
        !self.owner_runs(query) || self.fates.disruption.may_look_dead(self.now)
    }

    fn may_be_unanswered(&self, query: &Query) -> bool {
        let heard_from = query.sent_at.saturating_sub(HEARD_WITHIN);
        let has_just_started = |vm: &str| {
            let process = self.processes.get(vm);
            process.is_none_or(|process| process.started_at > heard_from)
        };
        let owner = owner::of(&query.request);
        !self.owner_runs(query)
            || owner.is_some_and(|owner| has_just_started(&owner.vm))
            || has_just_started(&query.requester.0)
            || self.fates.disruption.was_active_since(heard_from)
    }

    fn owner_runs(&self, query: &Query) -> bool {
        owner::of(&query.request).is_some_and(|owner| {
            let process = self.processes.get(&owner.vm);
            process.is_some_and(|process| process.incarnation == owner.incarnation)
        })
    }

    /// Returns the queries that a running process has not answered for too long.
    pub fn unanswered(&self) -> Vec<String> {
        let is_late = |query: &&Query| {
            let process = self.processes.get(&query.requester.0);
            let process = process.filter(|process| process.incarnation == query.requester.1);
            process.is_some_and(|process| {
                let from = process.thawed_at.unwrap_or_default().max(query.sent_at);
                !process.is_frozen && self.now > from + ANSWERED_WITHIN
            })
        };
        let late = self.fates.queries.values().filter(is_late);
        late.map(|query| format!("{query:?}")).collect()
    }
}
