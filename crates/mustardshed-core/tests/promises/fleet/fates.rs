//! Fates that entries tell, held against what traffic threads and engines know.

use std::{collections, time};

use mustardshed_core::{
    ids, outcome,
    process::{action, event, fates, members, node},
    request::{fate, owner},
};

use super::{Fleet, Item, Run};

/// Longest time from a question to its answer.
const ANSWERED_WITHIN: time::Duration =
    time::Duration::from_millis(fates::ANSWER_WITHIN.as_millis() as u64 + 200);
/// Time that entries need to hear of a process, or to hear again of all after a fault.
const HEARD_WITHIN: time::Duration = time::Duration::from_secs(2);
/// Trouble after which a process that runs may be taken for dead.
const TAKEN_FOR_DEAD_AFTER: time::Duration =
    members::DEAD_AFTER.saturating_sub(node::HEARTBEAT_INTERVAL);

/// What is known of fates, and what was told of them.
#[derive(Debug, Default)]
pub struct Fates {
    /// Answers that were not true, or missing although the owner was there to tell.
    pub untrue: Vec<String>,
    requests: Vec<ids::RequestId>,
    ends: collections::BTreeMap<ids::RequestId, (ids::Timestamp, outcome::Outcome)>,
    taken: collections::BTreeSet<ids::RequestId>,
    finished: collections::BTreeSet<ids::RequestId>,
    told_not_run: collections::BTreeSet<ids::RequestId>,
    questions: collections::BTreeMap<u64, Question>,
    trouble: Trouble,
}

/// A question on its way.
#[derive(Clone, Debug)]
struct Question {
    asker: Run,
    request: ids::RequestId,
    asked_at: ids::Timestamp,
}

/// The time in which links were cut or slow, or processes frozen.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    since: Option<ids::Timestamp>,
    lasted: time::Duration,
    ended_at: ids::Timestamp,
}

impl Trouble {
    fn note(&mut self, is_troubled: bool, now: ids::Timestamp) {
        match (self.since, is_troubled) {
            (None, true) => self.since = Some(now),
            (Some(since), false) => {
                self.since = None;
                self.lasted = now - since;
                self.ended_at = now;
            }
            _ => {}
        }
    }

    fn was_since(&self, from: ids::Timestamp) -> bool {
        self.since.is_some() || self.ended_at > from
    }

    /// Returns whether a process that runs may be taken for dead.
    fn may_hide(&self, now: ids::Timestamp) -> bool {
        let is_just_over = now < self.ended_at + HEARD_WITHIN && !self.ended_at.is_zero();
        let is_long = self
            .since
            .is_some_and(|since| now >= since + TAKEN_FOR_DEAD_AFTER);
        is_long || (is_just_over && self.lasted >= TAKEN_FOR_DEAD_AFTER)
    }
}

impl Fleet {
    /// Lets a caller ask an entry for the fate of a request, counted from the latest.
    pub fn ask_fate(&mut self, vm: &str, back: usize) {
        let index = self.fates.requests.len().checked_sub(1 + back);
        let request = index.and_then(|index| self.fates.requests.get(index).cloned());
        let Some((request, process)) = request.zip(self.processes.get(vm)) else {
            return;
        };
        let run = (vm.to_owned(), process.incarnation);
        self.counter += 1;
        let ticket = self.counter;
        let question = Question {
            asker: run.clone(),
            request: request.clone(),
            asked_at: self.now,
        };
        self.fates.questions.insert(ticket, question);
        let event = event::Event::WantFate { ticket, request };
        self.at(self.now, run, Item::Handle(event));
    }

    pub(super) fn note_trouble(&mut self) {
        let is_frozen = self.processes.values().any(|process| process.is_frozen);
        let is_troubled = is_frozen || self.network.is_disturbed();
        self.fates.trouble.note(is_troubled, self.now);
    }

    pub(super) fn note_begun(&mut self, run: &Run, request: &str) {
        self.fates.requests.push(request.to_owned());
        self.record_fate(run, request, outcome::Outcome::Running);
    }

    pub(super) fn note_taken(&mut self, request: &str) {
        self.fates.taken.insert(request.to_owned());
        if self.fates.told_not_run.contains(request) {
            let untrue = format!("{request} ran after it was told not to");
            self.fates.untrue.push(untrue);
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
        self.at(
            self.now,
            run.clone(),
            Item::Handle(event::Event::Fate(fate)),
        );
    }

    pub(super) fn fate_told(&mut self, ticket: u64, answer: &action::FateAnswer) {
        let Some(question) = self.fates.questions.remove(&ticket) else {
            self.fates.untrue.push(format!("{ticket} answered twice"));
            return;
        };
        let is_true = match answer {
            action::FateAnswer::Known(fate) => self.is_fate_true(&question, fate),
            action::FateAnswer::NoSuchRequest => false,
            action::FateAnswer::OwnerGone => self.may_be_gone(&question),
            action::FateAnswer::Unanswered => self.may_be_unanswered(&question),
        };
        if !is_true {
            self.fates
                .untrue
                .push(format!("{answer:?} at {:?} to {question:?}", self.now));
        }
    }

    fn is_fate_true(&mut self, question: &Question, fate: &fate::Fate) -> bool {
        let request = &question.request;
        let fates = &mut self.fates;
        let end = fates.ends.get(request);
        let is_it = match fate.outcome {
            outcome::Outcome::Running => end.is_none_or(|(at, _)| *at >= question.asked_at),
            outcome => end.is_some_and(|(_, known)| *known == outcome),
        };
        let did_finish = fates.finished.contains(request);
        let is_shown = match fate.outcome {
            outcome::Outcome::Completed => did_finish,
            outcome::Outcome::NotRun => !fates.taken.contains(request),
            _ => true,
        };
        if fate.outcome == outcome::Outcome::NotRun {
            fates.told_not_run.insert(request.clone());
        }
        fate.request == *request && is_it && is_shown
    }

    fn may_be_gone(&self, question: &Question) -> bool {
        !self.owner_runs(question) || self.fates.trouble.may_hide(self.now)
    }

    fn may_be_unanswered(&self, question: &Question) -> bool {
        let heard_from = question.asked_at.saturating_sub(HEARD_WITHIN);
        let is_young = |vm: &str| {
            let process = self.processes.get(vm);
            process.is_none_or(|process| process.started_at > heard_from)
        };
        let owner = owner::of(&question.request);
        !self.owner_runs(question)
            || owner.is_some_and(|owner| is_young(&owner.vm))
            || is_young(&question.asker.0)
            || self.fates.trouble.was_since(heard_from)
    }

    fn owner_runs(&self, question: &Question) -> bool {
        owner::of(&question.request).is_some_and(|owner| {
            let process = self.processes.get(&owner.vm);
            process.is_some_and(|process| process.incarnation == owner.incarnation)
        })
    }

    /// Returns the questions that stay without an answer for too long at processes that run.
    pub fn unanswered(&self) -> Vec<String> {
        let is_late = |question: &&Question| {
            let process = self.processes.get(&question.asker.0);
            let process = process.filter(|process| process.incarnation == question.asker.1);
            process.is_some_and(|process| {
                let from = process.thawed_at.unwrap_or_default().max(question.asked_at);
                !process.is_frozen && self.now > from + ANSWERED_WITHIN
            })
        };
        let late = self.fates.questions.values().filter(is_late);
        late.map(|question| format!("{question:?}")).collect()
    }
}
