//! Gangs as traffic threads place them: engine by engine, all or nothing, retried when refused.

use std::{collections, time};

use mustardshed_core::{
    boundary::control,
    error, ids,
    process::event,
    request::{admission, gang, route::work},
};

use super::{Fleet, Run, Task, engine};

/// Most consecutive attempts that no engine saw.
const MAX_FREE_ATTEMPTS: u32 = 4;
/// Longest wait for a change of stewards.
const MAX_CHANGE_WAIT: time::Duration = time::Duration::from_secs(8);
/// Pause before the next check for a change of stewards.
const CHANGE_PAUSE: time::Duration = time::Duration::from_millis(150);
/// Duration of a call that makes a reservation.
const RESERVE_TIME: time::Duration = time::Duration::from_millis(2);

/// A prompt that exceeds one engine's memory.
#[derive(Clone, Debug)]
pub struct Prompt {
    pub tokens: ids::Tokens,
    pub duration: time::Duration,
    pub timeout: time::Duration,
}

/// How a gang ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangEnd {
    Completed,
    Refused,
    Lost,
}

/// A gang as its traffic thread knows it.
#[derive(Clone, Debug)]
pub(super) struct Gang {
    prompt: Prompt,
    begun_at: ids::Timestamp,
    placed_at: Option<ids::Timestamp>,
    free: u32,
    denied: Vec<ids::BackendServerId>,
    is_changing: bool,
    plan: Option<gang::Plan>,
    takes: collections::VecDeque<gang::AcquireStep>,
    credits: Vec<control::Credit>,
    reserved: Vec<ids::BackendServerId>,
}

impl Gang {
    fn after(&self, part: time::Duration) -> ids::Timestamp {
        self.begun_at + part
    }

    fn server(&self, index: usize) -> Option<ids::BackendServerId> {
        let engine = self.plan.as_ref()?.engines.get(index)?;
        Some(engine.server.clone())
    }
}

impl Fleet {
    /// Submits a prompt that needs a gang.
    pub fn submit_gang(&mut self, vm: &str, prompt: &Prompt) {
        if self.is_closed(vm) {
            return;
        }
        let now = self.now;
        let Some(process) = self.processes.get_mut(vm) else {
            return;
        };
        process.sequence += 1;
        let request = format!("{vm}.{}.{}", process.incarnation, process.sequence);
        let gang = Gang {
            prompt: prompt.clone(),
            begun_at: now,
            placed_at: None,
            free: 0,
            denied: Vec::new(),
            is_changing: false,
            plan: None,
            takes: collections::VecDeque::new(),
            credits: Vec::new(),
            reserved: Vec::new(),
        };
        process.gangs.insert(request.clone(), gang);
        let run = (vm.to_owned(), process.incarnation);
        self.schedule(now, run, Task::ContinueGang(request));
    }

    fn gang_mut(&mut self, run: &Run, request: &str) -> Option<&mut Gang> {
        let process = self.process_mut(run)?;
        process.gangs.get_mut(request)
    }

    /// Performs the next step of acquiring the engines of a gang.
    pub(super) fn continue_gang(&mut self, run: &Run, request: &str) {
        if !self.plan_gang(run, request) {
            return;
        }
        let Some(gang) = self.gang_mut(run, request) else {
            return;
        };
        match gang.takes.pop_front() {
            Some(gang::AcquireStep::Credit(index)) => self.request_gang_credit(run, request, index),
            Some(gang::AcquireStep::Reserve(index)) => self.reserve_for_gang(run, request, index),
            None => self.run_gang(run, request),
        }
    }

    /// Plans a gang that has no plan yet; returns whether it has one now.
    fn plan_gang(&mut self, run: &Run, request: &str) -> bool {
        let now = self.now;
        let Some(process) = self.process_mut(run) else {
            return false;
        };
        let snapshot = process.node.snapshot(now);
        let Some(gang) = process.gangs.get_mut(request) else {
            return false;
        };
        if gang.plan.is_some() {
            return true;
        }
        let target = admission::model_target(&snapshot.text, "m");
        let plan = target.and_then(|target| {
            let work = work::Work::new(target, now.as_nanos() as u64)
                .tokens(gang.prompt.tokens, 0)
                .tried(&gang.denied);
            gang::plan(&snapshot, &work, now)
        });
        if let Some(plan) = plan {
            gang.takes = gang::acquire_steps(plan.engines.len()).into();
            gang.plan = Some(plan);
            return true;
        }
        let change_until = gang.after(MAX_CHANGE_WAIT.min(gang.prompt.timeout / 2));
        if !gang.is_changing || now >= change_until {
            self.end_gang(run, request, GangEnd::Refused);
            return false;
        }
        gang.free = 0;
        gang.denied.clear();
        self.schedule(
            now + CHANGE_PAUSE,
            run.clone(),
            Task::ContinueGang(request.into()),
        );
        false
    }

    fn request_gang_credit(&mut self, run: &Run, request: &str, index: usize) {
        let now = self.now;
        let Some(process) = self.process_mut(run) else {
            return;
        };
        let Some(gang) = process.gangs.get(request) else {
            return;
        };
        let Some((server, plan)) = gang.server(index).zip(gang.plan.as_ref()) else {
            return;
        };
        process.sequence += 1;
        let ticket = process.sequence;
        let req = control::CreditRequest {
            request: request.into(),
            account: "c0".into(),
            server,
            tokens: plan.tokens_each,
            prefill_tokens: plan.prefill_each,
            priority: 3,
            wait_until: gang.after(gang.prompt.timeout / 2),
            gang: true,
        };
        process.tickets.insert(ticket, request.into());
        let event = event::Event::Acquire { ticket, req };
        self.schedule(now, run.clone(), Task::Handle(event));
    }

    pub(super) fn gang_credited(
        &mut self,
        run: &Run,
        request: &str,
        result: Result<control::Credit, error::Error>,
    ) {
        let Some(gang) = self.gang_mut(run, request) else {
            return;
        };
        match result {
            Ok(credit) => {
                gang.credits.push(credit);
                self.continue_gang(run, request);
            }
            Err(err) => {
                let index = gang.credits.len();
                let server = gang.server(index);
                gang.denied.extend(server);
                gang.is_changing = err.kind == error::ErrorKind::NoBackendServer;
                self.retry_gang(run, request);
            }
        }
    }

    /// Returns whether the credits of a gang may be used; those of made reservations do not expire.
    fn may_use_credits(&self, run: &Run, request: &str) -> bool {
        let Some(process) = self.process(run) else {
            return false;
        };
        let snapshot = process.node.snapshot(self.now);
        let Some(gang) = process.gangs.get(request) else {
            return false;
        };
        let is_in_time = |credit: &control::Credit| {
            self.now < credit.use_by || gang.reserved.contains(&credit.server)
        };
        let is_server_usable = |credit: &control::Credit| {
            let view = snapshot.servers.get(&credit.server);
            view.is_some_and(|view| {
                let is_out = snapshot.data_centres_out.contains(&view.data_centre);
                !is_out && !view.leaving && view.epoch == credit.epoch
            })
        };
        self.now < snapshot.may_place_until
            && gang.credits.iter().all(is_in_time)
            && gang.credits.iter().all(is_server_usable)
    }

    fn reserve_for_gang(&mut self, run: &Run, request: &str, index: usize) {
        let now = self.now;
        let may_use = self.may_use_credits(run, request);
        let Some(gang) = self.gang_mut(run, request) else {
            return;
        };
        let Some((server, plan)) = gang.server(index).zip(gang.plan.as_ref()) else {
            return;
        };
        let work = engine::Work {
            tokens: plan.tokens_each,
            is_reservation: true,
        };
        let is_cut = self.network.is_cut(&run.0, &server);
        let engine = self.engines.get_mut(&server).filter(|e| !e.is_dead);
        let arrival = engine
            .filter(|_| may_use && !is_cut)
            .map(|engine| engine.arrive(request, work, now));
        if arrival != Some(engine::Arrival::Accepted) {
            self.retry_gang(run, request);
            return;
        }
        if let Some(gang) = self.gang_mut(run, request) {
            gang.reserved.push(server);
        }
        self.schedule(
            now + RESERVE_TIME,
            run.clone(),
            Task::ContinueGang(request.into()),
        );
    }

    fn run_gang(&mut self, run: &Run, request: &str) {
        if !self.may_use_credits(run, request) {
            self.retry_gang(run, request);
            return;
        }
        let now = self.now;
        let Some(gang) = self.gang_mut(run, request) else {
            return;
        };
        gang.placed_at = Some(now);
        let end = now + gang.prompt.duration;
        self.schedule(end, run.clone(), Task::EndGang(request.into()));
    }

    /// Releases what a gang holds, and retries it unless its attempts or its time are used up.
    fn retry_gang(&mut self, run: &Run, request: &str) {
        let now = self.now;
        self.release_gang(run, request);
        let Some(gang) = self.gang_mut(run, request) else {
            return;
        };
        gang.plan = None;
        gang.takes.clear();
        gang.free += 1;
        if gang.free >= MAX_FREE_ATTEMPTS || now >= gang.after(gang.prompt.timeout / 2) {
            self.end_gang(run, request, GangEnd::Refused);
            return;
        }
        self.schedule(now, run.clone(), Task::ContinueGang(request.into()));
    }

    fn release_gang(&mut self, run: &Run, request: &str) {
        let Some(gang) = self.gang_mut(run, request) else {
            return;
        };
        let credits = std::mem::take(&mut gang.credits);
        for server in std::mem::take(&mut gang.reserved) {
            if let Some(engine) = self.engines.get_mut(&server) {
                engine.end(request);
            }
        }
        for credit in credits {
            let feedback = control::Feedback::unused(&credit);
            let event = event::Event::Release { credit, feedback };
            self.schedule(self.now, run.clone(), Task::Handle(event));
        }
    }

    /// Ends a gang of which an engine lost its work.
    pub(super) fn gang_lost(&mut self, run: &Run, request: &str) {
        self.end_gang(run, request, GangEnd::Lost);
    }

    pub(super) fn end_gang(&mut self, run: &Run, request: &str, end: GangEnd) {
        let now = self.now;
        self.release_gang(run, request);
        let Some(process) = self.process_mut(run) else {
            return;
        };
        if let Some(gang) = process.gangs.remove(request) {
            let wait = gang.placed_at.unwrap_or(now) - gang.begun_at;
            self.gang_ends.push((request.into(), end, wait));
        }
    }

    /// Returns whether no traffic thread has a request.
    pub fn is_idle(&self) -> bool {
        let mut processes = self.processes.values();
        processes.all(|process| process.jobs.is_empty() && process.gangs.is_empty())
    }

    /// Returns the gangs that are not placed yet, each with its wait so far.
    pub fn waiting_gangs(&self) -> Vec<(ids::RequestId, time::Duration)> {
        let gangs = self.processes.values().flat_map(|process| &process.gangs);
        gangs
            .filter(|(_, gang)| gang.placed_at.is_none())
            .map(|(request, gang)| (request.clone(), self.now - gang.begun_at))
            .collect()
    }
}
