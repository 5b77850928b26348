//! The attempts of one request.

use std::{sync::atomic, time};

use mustardshed::{
    core::{
        forward::{attempts, bid, engine, placement, routes},
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

/// Share of the time left that an attempt may take if another one may follow.
const ATTEMPT_SHARE: f64 = 0.45;
/// Time beyond a multiple of the estimate after which a server that has not begun a stream counts
/// as silent: longer than engines stall when another one that they depend on is dead.
const SILENT_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// That multiple; estimates for engines that are merely busy are too low by a smaller factor.
const SILENT_FACTOR: f64 = 4.0;
/// Share of the time for which reserved memory may stay unused that a stream may take to begin.
const IDLE_SHARE: f64 = 0.8;
/// Shortest limit on the wait for another server after one has failed or rejected the request.
const TRIED_WAIT: time::Duration = time::Duration::from_millis(900);
/// Interval between attempts to place a waiting request.
const QUEUE_LOOK: time::Duration = time::Duration::from_millis(40);
/// Largest response body that is buffered before it is passed on, in bytes.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;
/// Retry delay for a caller whose request all servers rejected.
const TURNED_AWAY_WAIT: time::Duration = time::Duration::from_millis(150);
/// Retry delay for a caller if no server of the service is known.
const NO_SERVER_WAIT: time::Duration = time::Duration::from_millis(400);

/// Returns the time after which a server that has not begun a stream counts as silent.
fn silent_after(placed: &placement::Placed) -> time::Duration {
    SILENT_AFTER + engine::millis(placed.estimate_ms * SILENT_FACTOR)
}

fn holds_memory(placed: &placement::Placed) -> bool {
    placed.helpers.iter().any(|helper| helper.held_tokens > 0)
}

/// Carries a request through its attempts; an error is the refusal to send to the client.
pub(super) async fn run(req: exchange::Admitted) -> Result<exchange::Answer, refusal::Refusal> {
    let draw = rand::random();
    let service = req
        .route
        .service(draw)
        .and_then(|name| req.routes.service(name));
    let Some(service) = service.cloned() else {
        return Err(refusal::Refusal::NoServer(NO_SERVER_WAIT));
    };
    let now = req.cx.now();
    req.cx.state().budget.request(&service.name, now);
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

/// First part of a response.
pub(super) enum First {
    /// A complete response.
    Whole(exchange::Answer),
    /// A stream with its first event.
    Stream(Box<relay::Stream>),
}

/// A request with the state of its attempts.
#[derive(Debug)]
pub(super) struct Driver {
    pub(super) req: exchange::Admitted,
    service: routes::Service,
    tried: Vec<ids::BackendServerId>,
    attempts: attempts::Attempts,
    /// Identifier of the last event that the client has.
    pub(super) last_event: Option<u64>,
    stage: Stage,
    is_ended: atomic::AtomicBool,
}

/// How far a request has come, for the log of a cancelled one.
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
        let streaming = self.last_event != self.req.head.last_event;
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
        let last_event = req.head.last_event;
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

    /// Makes attempts until one has a complete response, or the first event of a stream.
    async fn first(&mut self) -> Result<First, refusal::Refusal> {
        loop {
            let answered = self.attempt().await?;
            let server = answered.held.server.clone();
            let is_stream = self.req.route.repeat.is_stream() && answered.parts.status.is_success();
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

    /// Reads the whole of a response that is not a stream.
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
            self.req.cx.state().ledger.health_mut(server).answered();
        }
        self.ended("answered", status.as_u16(), server, &relay::Pace::default());
        Ok(First::Whole(answer))
    }

    /// Makes attempts until one gets the head of a response.
    pub(super) async fn attempt(&mut self) -> Result<attempt::Answered, refusal::Refusal> {
        loop {
            let (placed, job) = self.place_soon().await?;
            self.log_placed(&placed);
            self.tried.push(placed.home.clone());
            self.stage = Stage::WaitingForHead;
            let timeout = self.attempt_timeout(&placed);
            let result = attempt::run(&self.req, &placed, job, self.last_event, timeout).await;
            match result {
                Ok(answered) => {
                    self.req.cx.metrics.attempt("answered");
                    self.attempts.ran();
                    self.stage = Stage::WaitingForFirstEvent;
                    return Ok(answered);
                }
                Err(attempt::Failed::NotRun {
                    reason,
                    has_arrived,
                }) => self.not_run(&placed.home, &reason, has_arrived)?,
                Err(attempt::Failed::Unknown(reason)) => {
                    self.attempts.ran();
                    self.broke_off(&placed.home, &reason)?;
                }
            }
        }
    }

    /// Places the request, waiting for a small part of its route's objective at most; if it cannot
    /// be placed by then, it is refused.
    async fn place_soon(&mut self) -> Result<(placement::Placed, job::Job), refusal::Refusal> {
        let since = if self.tried.is_empty() {
            self.req.arrived_at
        } else {
            self.req.cx.now()
        };
        let until = since + self.longest_wait();
        loop {
            let waited = self.req.cx.now().saturating_sub(since);
            match self.place(bid::share(waited, self.req.route.objective)) {
                Ok(placed) => return Ok(placed),
                Err(e) if e.may_pass() && self.req.cx.now() < until => {
                    tokio::time::sleep(QUEUE_LOOK).await;
                }
                Err(e) => {
                    self.log_not_placed(&e);
                    return Err(self.not_placed(e));
                }
            }
        }
    }

    /// Returns how long the request may wait to be placed.
    fn longest_wait(&self) -> time::Duration {
        let wait = bid::longest_wait(self.req.route.objective);
        if self.tried.is_empty() {
            wait
        } else {
            wait.max(TRIED_WAIT)
        }
    }

    /// Places the request where it costs others no more than `bid` times its weight.
    fn place(&self, bid: f64) -> Result<(placement::Placed, job::Job), placement::NotPlaced> {
        let need = placement::Need { bid, ..self.need() };
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
            // No other server is left; one that was tried may have recovered.
            wanted.tried = &[];
            placed = self.req.cx.place(&wanted);
        }
        placed
    }

    /// Returns what the next attempt needs; for a stream that has begun, waiting counts from now.
    fn need(&self) -> placement::Need {
        let need = self.req.need();
        let has_begun = self.last_event != self.req.head.last_event;
        placement::Need {
            is_begun: !self.tried.is_empty(),
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
            placement::NotPlaced::TooDear { retry_after, .. } => {
                refusal::Refusal::TooDear(self.come_back_in(retry_after))
            }
            placement::NotPlaced::TooLate { retry_after, .. } => {
                refusal::Refusal::TooLate(self.come_back_in(retry_after))
            }
        }
    }

    /// Returns a retry delay around `retry_after`, capped to a share of the caller's time. The
    /// jitter keeps callers that were refused together from retrying together.
    fn come_back_in(&self, retry_after: time::Duration) -> time::Duration {
        let spread = rand::random_range(0.75..1.25);
        self.within_patience(retry_after.mul_f64(spread))
    }

    /// Returns a retry delay of `retry_after` or more, capped to a share of the caller's time, for
    /// the case that no server accepts a request earlier. The jitter keeps callers that were
    /// refused together from retrying together.
    fn come_back_after(&self, retry_after: time::Duration) -> time::Duration {
        let spread = rand::random_range(1.0..1.25);
        self.within_patience(retry_after.mul_f64(spread))
    }

    fn within_patience(&self, wait: time::Duration) -> time::Duration {
        /// Largest share of its time left for which a client waits before a retry.
        const LONGEST_SHARE: f64 = 0.32;
        let left = self.req.time_left(self.req.cx.now());
        wait.min(left.mul_f64(LONGEST_SHARE))
    }

    /// Returns how long an attempt may wait for the head of a response, and a stream for its first
    /// event.
    fn attempt_timeout(&self, placed: &placement::Placed) -> time::Duration {
        let left = self.req.deadline().saturating_sub(self.req.cx.now());
        let may_follow = self.attempts.runs() + 1 < self.req.route.max_attempts;
        match self.req.route.repeat {
            routes::Repeat::Idempotent if may_follow => left.mul_f64(ATTEMPT_SHARE),
            // Not even the last attempt may hold reserved memory for a server that does not begin.
            repeat if repeat.is_stream() && holds_memory(placed) => {
                let idle = self.req.cx.settings.bounds.memory_idle;
                left.min(silent_after(placed)).min(idle.mul_f64(IDLE_SHARE))
            }
            repeat if repeat.is_stream() && may_follow => left.min(silent_after(placed)),
            _ => left,
        }
    }

    /// Returns whether a request that may have run may be sent to another server.
    fn may_try_again(&self) -> bool {
        self.req.route.repeat.may_run_again() && self.attempts.runs() < self.req.route.max_attempts
    }

    /// Records that the server did not run the request; an error ends the request.
    fn not_run(
        &mut self,
        server: &str,
        reason: &str,
        has_arrived: bool,
    ) -> Result<(), refusal::Refusal> {
        self.attempts.not_run(has_arrived);
        let has_budget = || !has_arrived || self.req.cx.may_repeat(&self.service.name);
        let goes_on = self.attempts.may_go_on() && has_budget();
        self.log_failed(server, "not_run", reason, goes_on);
        if goes_on {
            return Ok(());
        }
        if self.attempts.runs() > 0 {
            return Err(refusal::Refusal::FateUnknown);
        }
        Err(refusal::Refusal::TurnedAway(TURNED_AWAY_WAIT))
    }

    /// Records that a stream has stalled; returns whether it may resume at another server.
    pub(super) fn stalled(&mut self, server: &str, reason: &str) -> bool {
        attempt::failed(&self.req, server);
        let goes_on = self.may_try_again() && self.req.cx.may_repeat(&self.service.name);
        if goes_on {
            self.log_failed(server, "unknown", reason, goes_on);
        }
        goes_on
    }

    /// Records that an attempt which may have run broke off; an error ends the request.
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
            server: &placed.home,
            helpers: &helpers(placed),
            held_tokens: placed.helpers.iter().map(|helper| helper.held_tokens).sum(),
            prompt_tokens: self.req.head.prompt_tokens.unwrap_or_default(),
            part_ms: placed.part_ms.round(),
            estimate_ms: placed.estimate_ms.round(),
            price: (placed.price * 100.0).round() / 100.0,
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
            placement::NotPlaced::TooDear { price, weight, .. } => (*price, *weight, 0.0),
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

    /// Counts and logs the end of the request.
    pub(super) fn ended(&self, outcome: &str, status: u16, server: &str, pace: &relay::Pace) {
        self.is_ended.store(true, atomic::Ordering::Relaxed);
        let now = self.req.cx.now();
        let elapsed = now.saturating_sub(self.req.arrived_at);
        let repeat = self.req.route.repeat;
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
