//! Every interleaving of a few requests with one idempotency key, with a few faults.
//!
//! The production state machine is driven through all orders of steps of up to three requests at
//! three entries, with responses lost before and after the write takes effect, writes that take
//! effect late, refusals, and entries that die or cannot be reached. Checked in every state: the
//! call is sent at most once, and repeats are told nothing untrue of the earlier request.

use std::{collections, hash, hash::Hasher, time};

use googletest::prelude::*;
use mustardshed_core::{
    boundary::{control, platform},
    error, outcome,
    process::action,
    request::{claim, fate},
};

const REQUESTS: usize = 3;
const DEADLINE: time::Duration = time::Duration::from_secs(10);
const NOW: time::Duration = time::Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Request {
    Idle,
    Claiming(Box<claim::ClaimAttempt>, claim::Step),
    Granted,
    Sent,
    Completed,
    Refused { must_release: bool },
    Repeated,
    Dead,
}

#[derive(Clone, Debug)]
struct World {
    object: Option<(u64, claim::Value)>,
    version: u64,
    late: Vec<(u64, claim::Value)>,
    requests: Vec<Request>,
    faults_left: u32,
    sends: u32,
    completed: [bool; REQUESTS],
    untrue: Option<fate::Fate>,
}

fn id(index: usize) -> String {
    format!("e{index}.1.1")
}

fn claim_request(index: usize) -> control::ClaimRequest {
    control::ClaimRequest {
        account: "c".into(),
        key: "k".into(),
        body_digest: [1; 32],
        request: id(index),
    }
}

fn fate_of(index: usize, outcome: outcome::Outcome) -> fate::Fate {
    fate::Fate {
        request: id(index),
        account: "c".into(),
        outcome,
        error: None,
        servers: Vec::new(),
        stored_response: None,
    }
}

impl World {
    fn new(faults_left: u32) -> Self {
        Self {
            object: None,
            version: 0,
            late: Vec::new(),
            requests: vec![Request::Idle; REQUESTS],
            faults_left,
            sends: 0,
            completed: [false; REQUESTS],
            untrue: None,
        }
    }

    fn write(
        &mut self,
        expected: u64,
        value: claim::Value,
    ) -> std::result::Result<u64, platform::PlatformError> {
        let present = self.object.as_ref().map_or(0, |(version, _)| *version);
        if present != expected {
            return Err(platform::PlatformError::Conflict(present));
        }
        self.version += 1;
        self.object = Some((self.version, value));
        Ok(self.version)
    }

    fn holds(&self, index: usize) -> bool {
        let held = self.object.as_ref();
        held.is_some_and(|(_, value)| value.request == id(index) && value.fate.is_none())
    }

    /// Returns the world with one fault fewer left, if there is one.
    fn with_fault(&self) -> Option<Self> {
        let mut next = self.clone();
        next.faults_left = self.faults_left.checked_sub(1)?;
        Some(next)
    }

    fn with(mut self, index: usize, request: Request) -> Self {
        self.requests[index] = request;
        self
    }

    /// Returns whether a repeat may be told this fate; an unknown one only while none is recorded.
    fn is_true(&self, fate: &fate::Fate) -> bool {
        let Some(index) = (0..REQUESTS).find(|index| id(*index) == fate.request) else {
            return false;
        };
        let recorded = self
            .object
            .as_ref()
            .and_then(|(_, held)| held.fate.as_ref());
        match fate.outcome {
            outcome::Outcome::Completed => self.completed[index],
            outcome::Outcome::Unknown => recorded.is_none(),
            _ => false,
        }
    }

    fn advance(
        mut self,
        index: usize,
        claiming: Box<claim::ClaimAttempt>,
        step: claim::Step,
    ) -> Self {
        if let claim::Step::Done(claim::Ended::Duplicate(fate)) = &step
            && !self.is_true(fate)
        {
            self.untrue = Some(fate.clone());
        }
        let request = match step {
            claim::Step::Done(claim::Ended::Granted { .. }) => Request::Granted,
            claim::Step::Done(claim::Ended::Duplicate(_)) => Request::Repeated,
            claim::Step::Done(claim::Ended::Refused(_)) => Request::Refused {
                must_release: claiming.must_release(),
            },
            step => Request::Claiming(claiming, step),
        };
        self.with(index, request)
    }

    /// Returns the true reply of a request's owner to a query for its fate.
    fn owner_reply(&self, request: &str) -> action::FateAnswer {
        let Some(index) = (0..REQUESTS).find(|index| id(*index) == request) else {
            return action::FateAnswer::NoSuchRequest;
        };
        let outcome = match self.requests[index] {
            Request::Idle => return action::FateAnswer::NoSuchRequest,
            Request::Dead => return action::FateAnswer::OwnerGone,
            Request::Refused { .. } | Request::Repeated => outcome::Outcome::NotRun,
            Request::Completed => outcome::Outcome::Completed,
            _ => outcome::Outcome::Running,
        };
        action::FateAnswer::Known(fate_of(index, outcome))
    }

    /// Returns all worlds that may follow this one.
    fn successors(&self) -> Vec<Self> {
        let mut worlds = Vec::new();
        for index in 0..self.late.len() {
            let mut next = self.clone();
            let (expected, value) = next.late.remove(index);
            let _ = next.write(expected, value);
            worlds.push(next);
        }
        for index in 0..REQUESTS {
            self.add_successors_of(index, &mut worlds);
            if let (false, Some(next)) = (self.is_over(index), self.with_fault()) {
                worlds.push(next.with(index, Request::Dead));
            }
        }
        worlds
    }

    fn is_over(&self, index: usize) -> bool {
        matches!(
            self.requests[index],
            Request::Idle | Request::Dead | Request::Repeated
        )
    }

    fn add_successors_of(&self, index: usize, worlds: &mut Vec<Self>) {
        match self.requests[index].clone() {
            Request::Idle => {
                let (claiming, step) =
                    claim::ClaimAttempt::begin(claim_request(index), NOW, DEADLINE);
                worlds.push(self.clone().advance(index, Box::new(claiming), step));
            }
            Request::Claiming(claiming, step) => self.add_outcomes(index, claiming, step, worlds),
            Request::Granted => {
                let mut sent = self.clone().with(index, Request::Sent);
                sent.sends += 1;
                worlds.push(sent);
                // The process was suspended until the deadline had passed.
                let refused = Request::Refused { must_release: true };
                worlds.push(self.clone().with(index, refused));
            }
            Request::Sent => {
                let mut next = self.clone().with(index, Request::Completed);
                next.completed[index] = true;
                worlds.push(next);
            }
            Request::Completed if self.holds(index) => {
                let mut next = self.clone();
                if let Some((version, value)) = next.object.clone() {
                    let fate = Some(fate_of(index, outcome::Outcome::Completed));
                    let _ = next.write(version, claim::Value { fate, ..value });
                }
                worlds.push(next);
            }
            Request::Refused { must_release: true } if self.holds(index) => {
                let mut next = self.clone();
                next.object = None;
                worlds.push(next);
            }
            _ => {}
        }
    }

    fn add_outcomes(
        &self,
        index: usize,
        claiming: Box<claim::ClaimAttempt>,
        step: claim::Step,
        worlds: &mut Vec<Self>,
    ) {
        match step {
            claim::Step::Put { expected, value } => {
                self.put(index, &claiming, expected, &value, worlds);
            }
            claim::Step::Get => {
                let mut answered = claiming.clone();
                let step = answered.on_get(Ok(self.object.clone()), NOW);
                worlds.push(self.clone().advance(index, answered, step));
                if let Some(next) = self.with_fault() {
                    let mut unanswered = claiming;
                    let step = unanswered.on_get(Err(lost()), NOW);
                    worlds.push(next.advance(index, unanswered, step));
                }
            }
            claim::Step::WantFate { request } => {
                let mut answered = claiming.clone();
                let step = answered.on_fate(self.owner_reply(&request));
                worlds.push(self.clone().advance(index, answered, step));
                let unreached = [
                    action::FateAnswer::OwnerGone,
                    action::FateAnswer::Unanswered,
                ];
                for answer in unreached {
                    let Some(next) = self.with_fault() else {
                        continue;
                    };
                    let mut unreached = claiming.clone();
                    let step = unreached.on_fate(answer);
                    worlds.push(next.advance(index, unreached, step));
                }
            }
            claim::Step::Done(_) => {}
        }
    }

    fn put(
        &self,
        index: usize,
        claiming: &claim::ClaimAttempt,
        expected: u64,
        value: &claim::Value,
        worlds: &mut Vec<Self>,
    ) {
        let mut end = |mut next: Self, result| {
            let mut claiming = Box::new(claiming.clone());
            let step = claiming.on_put(result, NOW);
            next = next.advance(index, claiming, step);
            worlds.push(next);
        };
        let mut written = self.clone();
        let result = written.write(expected, value.clone());
        end(written, result);
        let Some(next) = self.with_fault() else {
            return;
        };
        let mut written = next.clone();
        let _ = written.write(expected, value.clone());
        end(written, Err(lost()));
        let mut late = next.clone();
        late.late.push((expected, value.clone()));
        end(late, Err(lost()));
        end(next, Err(platform::PlatformError::Refused("no".into())));
    }

    fn digest(&self) -> u64 {
        let mut hasher = hash::DefaultHasher::new();
        hasher.write(format!("{self:?}").as_bytes());
        hasher.finish()
    }
}

fn lost() -> platform::PlatformError {
    platform::PlatformError::Unanswered("lost".into())
}

/// Result of the exploration of all worlds.
#[derive(Default)]
struct Findings {
    worlds: usize,
    most_sends: u32,
    untrue: Option<fate::Fate>,
}

/// Explores all worlds, until one in which a call is sent twice or a wrong fate is told.
fn explore(faults: u32) -> Findings {
    let mut seen = collections::HashSet::new();
    let mut frontier = vec![World::new(faults)];
    let mut findings = Findings::default();
    while let Some(world) = frontier.pop() {
        if !seen.insert(world.digest()) {
            continue;
        }
        findings.worlds += 1;
        findings.most_sends = findings.most_sends.max(world.sends);
        if world.sends > 1 || world.untrue.is_some() {
            println!("broken: {world:#?}");
            findings.untrue = world.untrue;
            break;
        }
        frontier.extend(world.successors());
    }
    findings
}

#[gtest]
fn promise_7_call_is_sent_at_most_once_and_its_fate_is_told_in_every_interleaving() {
    let faults = std::env::var("MUSTARDSHED_FAULTS").ok();
    let faults = faults.map_or(2, |faults| faults.parse().unwrap());

    let findings = explore(faults);

    println!("{} worlds", findings.worlds);
    expect_that!(findings.most_sends, eq(1));
    expect_that!(findings.untrue, none());
}

#[gtest]
fn repeat_with_another_body_is_refused() {
    let mut other = claim_request(1);
    other.body_digest = [2; 32];
    let (mut claiming, _) = claim::ClaimAttempt::begin(other, NOW, DEADLINE);
    let held = claim::Value {
        request: id(0),
        body_digest: [1; 32],
        created_at: NOW,
        fate: None,
    };

    let step = claiming.on_get(Ok(Some((1, held))), NOW);

    let refusal = match step {
        claim::Step::Done(claim::Ended::Refused(refusal)) => refusal,
        step => panic!("{step:?}"),
    };
    expect_that!(
        refusal.kind.to_response().code,
        eq("idempotency_key_reused")
    );
}

/// Returns a claim by another request of the same call, as the platform keeps it.
fn held(fate: Option<fate::Fate>) -> claim::Value {
    claim::Value {
        request: id(0),
        body_digest: [1; 32],
        created_at: NOW,
        fate,
    }
}

#[gtest]
fn fate_recorded_just_before_its_owner_ended_is_found() {
    let (mut claiming, _) = claim::ClaimAttempt::begin(claim_request(1), NOW, DEADLINE);
    let completed = fate_of(0, outcome::Outcome::Completed);

    claiming.on_get(Ok(Some((1, held(None)))), NOW);
    let read_again = claiming.on_fate(action::FateAnswer::OwnerGone);
    let end = claiming.on_get(Ok(Some((2, held(Some(completed.clone()))))), NOW);

    expect_that!(read_again, eq(&claim::Step::Get));
    expect_that!(
        end,
        eq(&claim::Step::Done(claim::Ended::Duplicate(completed)))
    );
}

#[gtest]
fn fate_that_a_gone_owner_did_not_record_is_unknown() {
    let (mut claiming, _) = claim::ClaimAttempt::begin(claim_request(1), NOW, DEADLINE);

    claiming.on_get(Ok(Some((1, held(None)))), NOW);
    claiming.on_fate(action::FateAnswer::OwnerGone);
    let end = claiming.on_get(Ok(Some((1, held(None)))), NOW);

    let claim::Step::Done(claim::Ended::Duplicate(fate)) = end else {
        panic!("{end:?}");
    };
    expect_that!(fate.outcome, eq(outcome::Outcome::Unknown));
}

#[gtest]
fn repeat_whose_owner_does_not_respond_is_told_to_retry() {
    let (mut claiming, _) = claim::ClaimAttempt::begin(claim_request(1), NOW, DEADLINE);

    claiming.on_get(Ok(Some((1, held(None)))), NOW);
    let end = claiming.on_fate(action::FateAnswer::Unanswered);

    let claim::Step::Done(claim::Ended::Refused(refusal)) = end else {
        panic!("{end:?}");
    };
    expect_that!(refusal.kind, eq(error::ErrorKind::KeyInProgress));
    expect_that!(refusal.outcome, eq(outcome::Outcome::Unknown));
}

#[gtest]
fn key_counts_as_new_after_its_retention() {
    let wall_now = NOW + claim::RETENTION;
    let (mut claiming, _) = claim::ClaimAttempt::begin(claim_request(1), wall_now, DEADLINE);
    let held = claim::Value {
        request: id(0),
        body_digest: [1; 32],
        created_at: NOW,
        fate: Some(fate_of(0, outcome::Outcome::Completed)),
    };

    let step = claiming.on_get(Ok(Some((7, held.clone()))), NOW);

    expect_that!(
        step,
        matches_pattern!(claim::Step::Put {
            expected: eq(&7),
            ..
        })
    );
    let deleted = claim::expired([("c.x", 7, &held)].into_iter(), wall_now);
    expect_that!(deleted, elements_are![eq(&("c.x".to_owned(), 7))]);
}
