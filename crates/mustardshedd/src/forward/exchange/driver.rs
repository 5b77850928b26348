//! The attempts of one request.

use std::{sync::atomic, time};

use mustardshed::{
    core::{
        forward::{attempts, cost_limit, engine, placement, routes},
        ids,
    },
    platform::headers,
};

use crate::{
    forward::{
        cx,
        exchange::{self, attempt, relay},
        job, refusal, upstream,
    },
    log::{self, event},
};

/// Part of the time left that an attempt may take while another one may follow.
const ATTEMPT_SHARE: f64 = 0.45;
/// Time beyond a multiple of the estimate after which a server counts as silent that has not begun a
/// stream: longer than engines stall where another one that they depend on is dead.
const SILENT_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// That multiple; estimates are short by less where engines are merely busy.
const SILENT_FACTOR: f64 = 4.0;
/// Part of the time for which memory may be set aside unused that a stream may take to begin.
const IDLE_SHARE: f64 = 0.8;
/// Time for which a request may wait at least that a server has failed or turned away.
const TRIED_WAIT: time::Duration = time::Duration::from_millis(900);
/// Wait between looks for a place.
const QUEUE_LOOK: time::Duration = time::Duration::from_millis(40);
/// Largest body that is read whole before it is passed on, in bytes.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;
/// Time after which a caller may come back that no server took.
const TURNED_AWAY_WAIT: time::Duration = time::Duration::from_millis(150);
/// Time after which a caller may come back where no server of the service was known.
const NO_SERVER_WAIT: time::Duration = time::Duration::from_millis(400);

/// Returns the time after which a server counts as silent that has not begun a stream.
fn silent_after(placed: &placement::Placed) -> time::Duration {
    SILENT_AFTER + engine::millis(placed.estimate_ms * SILENT_FACTOR)
}

fn holds_memory(placed: &placement::Placed) -> bool {
    placed.helpers.iter().any(|helper| helper.held_tokens > 0)
}

/// Carries a request through its attempts.
pub(super) async fn run(req: exchange::Admitted) -> Result<exchange::Answer, refusal::Refusal> {
    let draw = rand::random();
    let service = req
        .route
        .pick_service(draw)
        .and_then(|name| req.routes.service(name));
    let Some(service) = service.cloned() else {
        return Err(refusal::Refusal::NoServer(NO_SERVER_WAIT));
    };
    let now = req.cx.now();
    req.cx.state().budget.record_request(&service.name, now);
    let deadline = req.deadline();
    let mut driver = Driver::new(req, service);
    let left = deadline.saturating_sub(now);
    let result = tokio::time::timeout(left, driver.first()).await;
    let result = result.unwrap_or(Err(refusal::Refusal::TimedOut));
    let answered =
        result.inspect_err(|_| driver.is_ended.store(true, atomic::Ordering::Relaxed))?;
    match answered {
        First::Whole(answer) => Ok(answer),
        First::Stream(stream) => Ok(relay::answer(driver, *stream)),
    }
}

/// What came first of an answer.
pub(super) enum First {
    /// All of it.
    Whole(exchange::Answer),
    /// A stream with its first event.
    Stream(Box<relay::Stream>),
}

/// Attempts of a request.
#[derive(Debug)]
pub(super) struct Driver {
    pub(super) req: exchange::Admitted,
    service: routes::Service,
    tried: Vec<ids::BackendServerId>,
    attempts: attempts::Attempts,
    /// Last event that the client has.
    pub(super) last_event: Option<u64>,
    stage: Stage,
    is_ended: atomic::AtomicBool,
}

/// How far a request has come, for the log of one whose client leaves.
#[derive(Clone, Copy, Debug, displaydoc::Display)]
enum Stage {
    /// placing
    Placing,
    /// waiting_for_head
    WaitingForHead,
    /// waiting_for_first_event
    WaitingForFirstEvent,
}

impl Drop for Driver {
    fn drop(&mut self) {
        if self.is_ended.load(atomic::Ordering::Relaxed) {
            return;
        }
        let now = self.req.cx.now();
        let streaming = self.last_event != self.req.head.last_event_id;
        log::emit(&event::Event::ForwardCancelled {
            request: self.req.id(),
            route: &self.req.route.name,
            stage: &if streaming {
                "streaming".to_owned()
            } else {
                self.stage.to_string()
            },
            server: self.tried.last().map_or("", String::as_str),
            elapsed_ms: now.saturating_sub(self.req.arrived_at).as_millis(),
        });
    }
}

impl Driver {
    fn new(req: exchange::Admitted, service: routes::Service) -> Self {
        let last_event = req.head.last_event_id;
        Self {
            req,
            service,
            tried: Vec::new(),
            attempts: attempts::Attempts::default(),
            last_event,
            stage: Stage::Placing,
            is_ended: atomic::AtomicBool::new(false),
        }
    }

    /// Makes attempts until one answers; of a stream, the first event has come.
    async fn first(&mut self) -> Result<First, refusal::Refusal> {
        loop {
            let answered = self.attempt().await?;
            let server = answered.held.server.clone();
            let is_stream =
                self.req.route.route_type.is_stream() && answered.parts.status.is_success();
            let result = if is_stream {
                relay::Stream::first(answered, self.last_event)
                    .await
                    .map(First::Stream)
            } else {
                self.whole(answered).await
            };
            match result {
                Ok(first) => return Ok(first),
                Err(reason) => self.broke_off(&server, &reason)?,
            }
        }
    }

    /// Reads the whole of an answer that is no stream.
    async fn whole(&self, answered: attempt::Answered) -> Result<First, String> {
        let status = answered.parts.status;
        if status.is_server_error() && self.may_try_again() {
            return Err(format!("answered {status}"));
        }
        answered.held.driver.allow(MAX_WHOLE_BYTES);
        let body = upstream::read_whole(answered.body, MAX_WHOLE_BYTES).await?;
        let mut answer = http::Response::new(exchange::whole(body));
        *answer.status_mut() = status;
        *answer.headers_mut() = headers::toward_client(&answered.parts.headers);
        let server = &answered.held.server;
        if status.is_server_error() {
            attempt::failed(&self.req, server);
        } else {
            self.req
                .cx
                .state()
                .ledger
                .health_mut(server)
                .record_success();
        }
        self.ended("answered", status.as_u16(), server, &relay::Pace::default());
        Ok(First::Whole(answer))
    }

    /// Makes attempts until one gets the head of an answer.
    pub(super) async fn attempt(&mut self) -> Result<attempt::Answered, refusal::Refusal> {
        loop {
            let (placed, job) = self.place_soon().await?;
            self.log_placed(&placed);
            self.tried.push(placed.primary.clone());
            self.stage = Stage::WaitingForHead;
            let timeout = self.attempt_timeout(&placed);
            let result = attempt::run(&self.req, &placed, job, self.last_event, timeout).await;
            match result {
                Ok(answered) => {
                    self.req.cx.metrics.attempt("answered");
                    self.attempts.record_run();
                    self.stage = Stage::WaitingForFirstEvent;
                    return Ok(answered);
                }
                Err(attempt::Failed::NotRun {
                    reason,
                    has_arrived,
                }) => self.not_run(&placed.primary, &reason, has_arrived)?,
                Err(attempt::Failed::Unknown(reason)) => {
                    self.attempts.record_run();
                    self.broke_off(&placed.primary, &reason)?;
                }
            }
        }
    }

    /// Places the request, at the latest after a small part of the time within which it should begin;
    /// what cannot be placed by then is refused.
    async fn place_soon(&mut self) -> Result<(placement::Placed, job::Job), refusal::Refusal> {
        let since = if self.tried.is_empty() {
            self.req.arrived_at
        } else {
            self.req.cx.now()
        };
        let until = since + self.longest_wait();
        loop {
            let waited = self.req.cx.now().saturating_sub(since);
            match self.place(cost_limit::share(waited, self.req.route.objective)) {
                Ok(placed) => return Ok(placed),
                Err(e) if e.is_transient() && self.req.cx.now() < until => {
                    tokio::time::sleep(QUEUE_LOOK).await;
                }
                Err(e) => {
                    self.log_not_placed(&e);
                    return Err(self.not_placed(e));
                }
            }
        }
    }

    /// Returns for how long the request may wait for a place.
    fn longest_wait(&self) -> time::Duration {
        let wait = cost_limit::max_wait(self.req.route.objective);
        if self.tried.is_empty() {
            wait
        } else {
            wait.max(TRIED_WAIT)
        }
    }

    /// Places the request where it costs others no more than `bid` of its weight.
    fn place(&self, bid: f64) -> Result<(placement::Placed, job::Job), placement::NotPlaced> {
        let need = placement::Need {
            max_cost_share: bid,
            ..self.need()
        };
        let mut wanted = cx::Wanted {
            service: &self.service,
            need,
            tried: &self.tried,
        };
        let mut placed = self.req.cx.place(&wanted);
        let is_without_server = matches!(
            placed,
            Err(placement::NotPlaced::NoServer | placement::NotPlaced::BackedOff { .. })
        );
        if is_without_server && !self.tried.is_empty() {
            // All others are out; one that was tried may have recovered.
            wanted.tried = &[];
            placed = self.req.cx.place(&wanted);
        }
        placed
    }

    /// Returns what the next attempt needs; a stream that has begun is waited for from now on.
    fn need(&self) -> placement::Need {
        let need = self.req.need();
        let has_begun = self.last_event != self.req.head.last_event_id;
        placement::Need {
            is_retry: !self.tried.is_empty(),
            arrived_at: if has_begun {
                self.req.cx.now()
            } else {
                need.arrived_at
            },
            ..need
        }
    }

    fn not_placed(&self, e: placement::NotPlaced) -> refusal::Refusal {
        if self.attempts.runs() > 0 {
            return refusal::Refusal::FateUnknown;
        }
        match e {
            placement::NotPlaced::NoServer => refusal::Refusal::NoServer(NO_SERVER_WAIT),
            placement::NotPlaced::BackedOff { retry_after } => {
                refusal::Refusal::BackedOff(self.come_back_after(retry_after))
            }
            placement::NotPlaced::Full { retry_after } => {
                refusal::Refusal::Full(self.come_back_in(retry_after))
            }
            placement::NotPlaced::TooCostly { retry_after, .. } => {
                refusal::Refusal::TooDear(self.come_back_in(retry_after))
            }
            placement::NotPlaced::TooLate { retry_after, .. } => {
                refusal::Refusal::TooLate(self.come_back_in(retry_after))
            }
        }
    }

    /// Returns when the caller may come back: it waits for no more than a part of its time, and
    /// those that were refused together must not come back together.
    fn come_back_in(&self, retry_after: time::Duration) -> time::Duration {
        let spread = rand::random_range(0.75..1.25);
        self.within_patience(retry_after.mul_f64(spread))
    }

    /// Returns when the caller may come back where no server takes a request before `retry_after`;
    /// those that were refused together must not come back together.
    fn come_back_after(&self, retry_after: time::Duration) -> time::Duration {
        let spread = rand::random_range(1.0..1.25);
        self.within_patience(retry_after.mul_f64(spread))
    }

    fn within_patience(&self, wait: time::Duration) -> time::Duration {
        /// Part of the time left for which clients wait at most.
        const LONGEST_SHARE: f64 = 0.32;
        let left = self.req.time_left(self.req.cx.now());
        wait.min(left.mul_f64(LONGEST_SHARE))
    }

    /// Returns how long an attempt may wait for the head of an answer, and a stream for its first event.
    fn attempt_timeout(&self, placed: &placement::Placed) -> time::Duration {
        let left = self.req.deadline().saturating_sub(self.req.cx.now());
        let may_follow = self.attempts.runs() + 1 < self.req.route.max_attempts;
        match self.req.route.route_type {
            routes::RouteType::Idempotent if may_follow => left.mul_f64(ATTEMPT_SHARE),
            // Memory must not be kept for a server that does not begin, by the last attempt either.
            repeat if repeat.is_stream() && holds_memory(placed) => {
                let idle = self.req.cx.settings.bounds.memory_idle;
                left.min(silent_after(placed)).min(idle.mul_f64(IDLE_SHARE))
            }
            repeat if repeat.is_stream() && may_follow => left.min(silent_after(placed)),
            _ => left,
        }
    }

    /// Returns whether a request that may have run may be sent to one more server.
    fn may_try_again(&self) -> bool {
        self.req.route.route_type.is_retryable()
            && self.attempts.runs() < self.req.route.max_attempts
    }

    /// Takes that an attempt has not run; an error ends the request.
    fn not_run(
        &mut self,
        server: &str,
        reason: &str,
        has_arrived: bool,
    ) -> Result<(), refusal::Refusal> {
        self.attempts.record_not_run(has_arrived);
        let has_budget = || !has_arrived || self.req.cx.may_repeat(&self.service.name);
        let goes_on = self.attempts.may_retry() && has_budget();
        self.log_failed(server, "not_run", reason, goes_on);
        if goes_on {
            return Ok(());
        }
        if self.attempts.runs() > 0 {
            return Err(refusal::Refusal::FateUnknown);
        }
        Err(refusal::Refusal::TurnedAway(TURNED_AWAY_WAIT))
    }

    /// Takes that a stream has stalled; returns whether it may go on at another server.
    pub(super) fn stalled(&mut self, server: &str, reason: &str) -> bool {
        attempt::failed(&self.req, server);
        let goes_on = self.may_try_again() && self.req.cx.may_repeat(&self.service.name);
        if goes_on {
            self.log_failed(server, "unknown", reason, goes_on);
        }
        goes_on
    }

    /// Takes that an attempt broke off that may have run; an error ends the request.
    pub(super) fn broke_off(&mut self, server: &str, reason: &str) -> Result<(), refusal::Refusal> {
        attempt::failed(&self.req, server);
        let goes_on = self.may_try_again() && self.req.cx.may_repeat(&self.service.name);
        self.log_failed(server, "unknown", reason, goes_on);
        if goes_on {
            Ok(())
        } else {
            Err(refusal::Refusal::FateUnknown)
        }
    }

    fn log_placed(&self, placed: &placement::Placed) {
        log::emit(&event::Event::ForwardPlaced {
            request: self.req.id(),
            route: &self.req.route.name,
            version: self.req.routes.version,
            server: &placed.primary,
            helpers: &helpers(placed),
            held_tokens: placed.helpers.iter().map(|helper| helper.held_tokens).sum(),
            prompt_tokens: self.req.head.prompt_tokens.unwrap_or_default(),
            part_ms: placed.shard_ms.round(),
            estimate_ms: placed.estimate_ms.round(),
            price: (placed.cost * 100.0).round() / 100.0,
            attempt: self.attempts.count() + 1,
        });
    }

    fn log_failed(&self, server: &str, outcome: &str, reason: &str, goes_on: bool) {
        self.req.cx.metrics.attempt(outcome);
        log::emit(&event::Event::ForwardAttemptFailed {
            request: self.req.id(),
            server,
            outcome,
            reason,
            next: if goes_on { "try_again" } else { "give_up" },
        });
    }

    fn log_not_placed(&self, e: &placement::NotPlaced) {
        let (price, weight, estimate_ms) = match e {
            placement::NotPlaced::TooCostly {
                cost: price,
                weight,
                ..
            } => (*price, *weight, 0.0),
            placement::NotPlaced::TooLate { estimate_ms, .. } => (0.0, 0.0, *estimate_ms),
            placement::NotPlaced::NoServer
            | placement::NotPlaced::Full { .. }
            | placement::NotPlaced::BackedOff { .. } => (0.0, 0.0, 0.0),
        };
        log::emit(&event::Event::ForwardNotPlaced {
            request: self.req.id(),
            route: &self.req.route.name,
            reason: &e.to_string(),
            prompt_tokens: self.req.head.prompt_tokens.unwrap_or_default(),
            price: (price * 100.0).round() / 100.0,
            weight: (weight * 100.0).round() / 100.0,
            estimate_ms: estimate_ms.round(),
            attempt: self.attempts.count() + 1,
        });
    }

    /// Logs the end of the request.
    pub(super) fn ended(&self, outcome: &str, status: u16, server: &str, pace: &relay::Pace) {
        self.is_ended.store(true, atomic::Ordering::Relaxed);
        let now = self.req.cx.now();
        let elapsed = now.saturating_sub(self.req.arrived_at);
        let repeat = self.req.route.route_type;
        let metrics = &self.req.cx.metrics;
        metrics.ended(repeat, outcome, pace.first, elapsed);
        log::emit(&event::Event::ForwardEnded {
            request: self.req.id(),
            route: &self.req.route.name,
            outcome,
            status,
            server,
            events: pace.events,
            first_ms: pace.first.unwrap_or_default().as_millis(),
            longest_gap_ms: pace.longest_gap.as_millis(),
            elapsed_ms: elapsed.as_millis(),
        });
    }
}

fn helpers(placed: &placement::Placed) -> String {
    let helpers = placed.helpers.iter().map(|helper| helper.server.as_str());
    helpers.collect::<Vec<_>>().join(",")
}
