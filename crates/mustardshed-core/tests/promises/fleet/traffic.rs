//! Traffic threads: they request and release credits, and send work to engines.

use std::time;

use mustardshed_core::{
    boundary::{backend_server, control},
    error, ids, outcome,
    process::event,
    request::owner,
};

use super::{Fleet, Run, TIMEOUTS, Task, broken, engine};

/// A request as its traffic thread sees it.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) server: ids::BackendServerId,
    work: engine::Work,
    duration: time::Duration,
    send_delay: time::Duration,
    credit: Option<control::Credit>,
}

/// How the work of a request ended, as its traffic thread sees it.
#[derive(Clone, Debug)]
enum End {
    Unsent,
    Finished,
    Failed(backend_server::BackendServerError),
}

impl End {
    const fn outcome(&self) -> outcome::Outcome {
        use backend_server::BackendServerError::{Refused, Unreachable};
        match self {
            Self::Unsent | Self::Failed(Refused(_) | Unreachable(_)) => outcome::Outcome::NotRun,
            Self::Finished => outcome::Outcome::Completed,
            Self::Failed(_) => outcome::Outcome::Failed,
        }
    }
}

/// Work that was granted on, or sent to, an engine.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: ids::Timestamp,
    pub what: String,
    pub data_centre: ids::DataCentreId,
    pub leaving_for: Option<time::Duration>,
}

/// An engine that fell over because of too much work in its cold start.
#[derive(Clone, Debug)]
pub struct FellOver {
    pub what: String,
    pub cold_for: Option<time::Duration>,
    /// Time since any entry saw the first sign of this cold period.
    pub seen_for: Option<time::Duration>,
}

impl Fleet {
    /// Submits a request to an entry.
    pub fn submit(&mut self, vm: &str, server: &str, work: engine::Work, duration: time::Duration) {
        let now = self.now;
        if self.is_closed(vm) {
            return;
        }
        let Some(process) = self.processes.get_mut(vm) else {
            return;
        };
        process.sequence += 1;
        let request = format!("{vm}.{}.{}", process.incarnation, process.sequence);
        let ticket = process.sequence;
        let req = control::CreditRequest {
            request: request.clone(),
            account: format!("c{}", ticket % 3),
            server: server.into(),
            tokens: work.tokens,
            prefill_tokens: work.tokens,
            priority: (ticket % 4) as u32,
            wait_until: now + TIMEOUTS[ticket as usize % TIMEOUTS.len()],
            gang: work.is_reservation,
        };
        let job = Job {
            server: server.into(),
            work,
            duration,
            send_delay: time::Duration::from_millis(1 + (ticket * 137) % 1900),
            credit: None,
        };
        process.jobs.insert(request.clone(), job);
        process.tickets.insert(ticket, request.clone());
        let run = (vm.to_owned(), process.incarnation);
        self.note_begun(&run, &request);
        let event = event::Event::Acquire { ticket, req };
        self.schedule(now, run, Task::Handle(event));
    }

    /// Breaks all streams of an engine: entries end the requests, and their cancellations are lost.
    pub fn break_streams(&mut self, server: &str) {
        let Some(engine) = self.engines.get(server) else {
            return;
        };
        let held: Vec<_> = engine.held.keys().cloned().collect();
        self.ends.retain(|_, (other, _)| other != server);
        for request in held {
            self.end_at_owner(server, &request, End::Failed(broken()));
        }
    }

    /// Makes an engine lose its work and turn cold without notice.
    pub fn turn_cold(&mut self, server: &str, is_dead: bool) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        engine.is_dead = is_dead;
        let lost = engine.restart(now);
        self.ends.retain(|_, (other, _)| other != server);
        for request in lost {
            self.end_at_owner(server, &request, End::Failed(broken()));
        }
    }

    pub(super) fn acquired(
        &mut self,
        run: &Run,
        ticket: u64,
        result: Result<control::Credit, error::Error>,
    ) {
        let now = self.now;
        let Some(process) = self.process_mut(run) else {
            return;
        };
        let Some(request) = process.tickets.remove(&ticket) else {
            return;
        };
        if process.gangs.contains_key(&request) {
            self.gang_credited(run, &request, result);
            return;
        }
        let Ok(credit) = result else {
            process.jobs.remove(&request);
            self.note_ended(run, &request, outcome::Outcome::NotRun);
            return;
        };
        let Some(job) = process.jobs.get_mut(&request) else {
            return;
        };
        let at = now + job.send_delay;
        job.credit = Some(credit);
        self.schedule(at, run.clone(), Task::Send(request));
    }

    /// Sends work to its engine, after the checks that traffic threads make when sending.
    pub(super) fn send_work(&mut self, run: &Run, request: &str) {
        let now = self.now;
        let Some(process) = self.process(run) else {
            return;
        };
        let Some(job) = process.jobs.get(request).cloned() else {
            return;
        };
        let snapshot = process.node.snapshot(now);
        let may_send = job.credit.as_ref().is_some_and(|credit| {
            snapshot.servers.get(&job.server).is_some_and(|view| {
                now < snapshot.may_place_until
                    && now < credit.use_by
                    && !snapshot.data_centres_out.contains(&view.data_centre)
                    && !view.leaving
                    && view.epoch == credit.epoch
            })
        });
        if !may_send || self.network.is_cut(&run.0, &job.server) {
            self.end_at_owner(&job.server, request, End::Unsent);
            return;
        }
        let Some(engine) = self.engines.get(&job.server) else {
            return;
        };
        let cold_for = engine.turned_cold_at.map(|at| now - at);
        let cold_sign = self.cold_signs.get(&job.server);
        let cold_sign = cold_sign.filter(|(epoch, _)| *epoch == engine.epoch);
        let seen_for = cold_sign.map(|(_, at)| now - *at);
        self.sent.extend(self.placement(request, &job.server));
        let Some(engine) = self.engines.get_mut(&job.server) else {
            return;
        };
        if engine.is_dead {
            self.end_at_owner(&job.server, request, End::Failed(unreachable()));
            return;
        }
        let held: Vec<_> = engine.held.keys().cloned().collect();
        match engine.arrive(request, job.work, now) {
            engine::Arrival::Accepted => {
                self.note_accepted(request);
                self.counter += 1;
                let end = (now + job.duration, self.counter);
                self.ends.insert(end, (job.server, request.to_owned()));
            }
            engine::Arrival::Refused => {
                self.end_at_owner(&job.server, request, End::Failed(refused()));
            }
            engine::Arrival::FellOver => {
                self.fell_over.push(FellOver {
                    what: format!("{} at {now:?} under {held:?} and {request}", job.server),
                    cold_for,
                    seen_for,
                });
                self.note_accepted(request);
                self.ends.retain(|_, (server, _)| *server != job.server);
                for lost in held.iter().map(String::as_str).chain([request]) {
                    self.end_at_owner(&job.server, lost, End::Failed(broken()));
                }
            }
        }
    }

    fn end_work(&mut self, server: &str, request: &str, end: End) {
        let is_held = self
            .engines
            .get_mut(server)
            .is_some_and(|engine| engine.end(request));
        if is_held {
            if matches!(end, End::Finished) {
                self.note_finished(request);
            }
            self.end_at_owner(server, request, end);
        }
    }

    /// Returns the record of work that is placed on a server now.
    pub(super) fn placement(&self, request: &str, server: &str) -> Option<Sent> {
        let engine = self.engines.get(server)?;
        Some(Sent {
            at: self.now,
            what: format!("{request} on {server} at {:?}", self.now),
            data_centre: engine.data_centre.clone(),
            leaving_for: engine.leaving_since.map(|at| self.now - at),
        })
    }

    /// Ends a request at its traffic thread, which releases the credit, if its process still runs.
    fn end_at_owner(&mut self, server: &str, request: &str, end: End) {
        let epoch = self.engines.get(server).map(|engine| engine.epoch);
        let Some(owner) = owner::of(request) else {
            return;
        };
        let run = (owner.vm, owner.incarnation);
        let Some(process) = self.process_mut(&run) else {
            return;
        };
        if process.gangs.contains_key(request) {
            self.gang_lost(&run, request);
            return;
        }
        let job = process.jobs.remove(request);
        let Some(credit) = job.and_then(|job| job.credit) else {
            return;
        };
        let outcome = end.outcome();
        let feedback = control::Feedback {
            epoch: epoch.filter(|_| matches!(end, End::Finished)),
            failure: match end {
                End::Failed(failure) => Some(failure),
                End::Unsent | End::Finished => None,
            },
            ..control::Feedback::unused(&credit)
        };
        self.note_ended(&run, request, outcome);
        let event = event::Event::Release { credit, feedback };
        self.schedule(self.now, run, Task::Handle(event));
    }

    /// Returns whether a running process still carries a request.
    pub fn is_needed(&self, request: &str) -> bool {
        owner::of(request).is_some_and(|owner| {
            self.processes.get(&owner.vm).is_some_and(|process| {
                let is_carried =
                    process.jobs.contains_key(request) || process.gangs.contains_key(request);
                process.incarnation == owner.incarnation && is_carried
            })
        })
    }

    pub(super) fn cancel(&mut self, address: &str, request: &str) {
        let server = self
            .engines
            .iter()
            .find(|(_, engine)| engine.address == address);
        let Some(server) = server.map(|(server, _)| server.clone()) else {
            return;
        };
        self.end_work(&server, request, End::Failed(broken()));
    }

    /// Records the first sign of a server's current cold period that reaches any entry.
    pub(super) fn note_cold_sign(&mut self, event: &event::Event) {
        let (server, epoch) = match event {
            event::Event::LoadRead {
                server,
                result: Ok(report),
                ..
            } => (server, report.epoch),
            event::Event::Release { credit, feedback } => match feedback.epoch {
                Some(epoch) => (&credit.server, epoch),
                None => return,
            },
            _ => return,
        };
        let earlier = self.cold_signs.get(server);
        if earlier.is_none_or(|(known, _)| *known < epoch) {
            self.cold_signs.insert(server.clone(), (epoch, self.now));
        }
    }

    /// Ends work that is finished.
    pub(super) fn finish_work(&mut self, server: &str, request: &str) {
        self.end_work(server, request, End::Finished);
    }
}

fn refused() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Refused("full".into())
}

fn unreachable() -> backend_server::BackendServerError {
    backend_server::BackendServerError::Unreachable("dead".into())
}
