//! The attempts of one request.

use std::{
    sync::{self, atomic},
    time,
};

use mustardshed::{
    core::{
        forward::{attempts, cost_limit, engine, placement, quarantine, routes},
        ids,
    },
    platform::headers,
};

use crate::forward::{
    cx::{self, crashes},
    exchange::{self, attempt, content, passing, streaming},
    job, refusal, upstream,
};

mod hedge;
mod records;

/// Share of the time left that an attempt may take if another one may follow.
const ATTEMPT_SHARE: f64 = 0.45;
/// Time beyond a multiple of the estimate after which a server that has not begun a stream counts
/// as silent: longer than engines stall when another one that they depend on is dead.
const SILENT_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// That multiple; estimates for engines that are merely busy are too low by a smaller factor.
const SILENT_FACTOR: f64 = 4.0;
/// Share of the time for which reserved memory may stay unused that a stream may take to begin.
const MEMORY_IDLE_SHARE: f64 = 0.8;
/// Shortest limit on the wait for another server after one has failed or rejected the request.
const MIN_REPLACEMENT_WAIT: time::Duration = time::Duration::from_millis(900);
/// Interval between attempts to place a waiting request.
const PLACEMENT_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Largest response body that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Retry delay for a caller whose request all servers rejected.
const REJECTED_RETRY_AFTER: time::Duration = time::Duration::from_millis(150);
/// Retry delay for a caller if no server of the service is known.
const NO_SERVER_RETRY_AFTER: time::Duration = time::Duration::from_millis(400);

/// Returns the time after which a server that has not begun a stream counts as silent.
fn silent_after(placed: &placement::Placed) -> time::Duration {
    SILENT_AFTER + engine::millis(placed.estimate_ms * SILENT_FACTOR)
}

fn holds_memory(placed: &placement::Placed) -> bool {
    placed.helpers.iter().any(|helper| helper.held_tokens > 0)
}

/// Carries a request through its attempts; an error is the refusal to send to the client.
pub(super) async fn run(req: exchange::Admitted) -> Result<exchange::Response, refusal::Refusal> {
    let sample = rand::random();
    let service = req
        .route
        .pick_service(sample)
        .and_then(|name| req.routes.service(name));
    let Some(service) = service.cloned() else {
        return Err(refusal::Refusal::NoServer(NO_SERVER_RETRY_AFTER));
    };
    let now = req.cx.now();
    req.cx.state().record_request(&service.name, now);
    let deadline = req.deadline();
    let mut dispatch = Dispatch::new(req, service);
    let left = deadline.saturating_sub(now);
    let result = dispatch.start_in_time(left).await;
    let start = result.inspect_err(|_| dispatch.is_ended.store(true, atomic::Ordering::Relaxed))?;
    match start {
        ResponseStart::Whole(response) => Ok(response),
        ResponseStart::Partial(partial) => {
            let (buffered, rest) = *partial;
            Ok(passing::response(dispatch, buffered, rest))
        }
        ResponseStart::Stream(stream) => Ok(streaming::response(dispatch, *stream)),
    }
}

/// First part of a response.
pub(super) enum ResponseStart {
    /// A complete response.
    Whole(exchange::Response),
    /// The beginning of a response for which there is no memory.
    Partial(Box<(passing::Buffered, passing::Rest)>),
    /// A stream with its first event.
    Stream(Box<streaming::Stream>),
}

/// A request with the state of its attempts.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) req: sync::Arc<exchange::Admitted>,
    service: routes::Service,
    tried: Vec<ids::BackendServerId>,
    attempts: attempts::Attempts,
    /// Identifier of the last event that the client has, or that is held for it.
    pub(super) last_event: Option<u64>,
    /// What its repeats have in common.
    content: sync::Arc<content::Content>,
    /// When the last attempt was sent.
    sent_at: ids::Timestamp,
    /// Attempts that may have crashed their servers.
    crashes: u32,
    /// Whether a server has begun to answer.
    has_begun: bool,
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

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.req.cx.end_request();
        if !self.is_ended.load(atomic::Ordering::Relaxed) {
            self.log_dropped();
        }
    }
}

impl Dispatch {
    fn new(req: exchange::Admitted, service: routes::Service) -> Self {
        req.cx.begin_request();
        let last_event = req.head.last_event_id;
        let host = exchange::host(&req.parts.headers);
        let content = content::Content::new(host, &req.parts, &req.head, &req.body);
        Self {
            content: sync::Arc::new(content),
            sent_at: req.arrived_at,
            crashes: 0,
            req: sync::Arc::new(req),
            service,
            tried: Vec::new(),
            attempts: attempts::Attempts::default(),
            last_event,
            has_begun: false,
            stage: Stage::Placing,
            is_ended: atomic::AtomicBool::new(false),
        }
    }

    /// Starts the response within `left`, unless the request or others with its prompt parts are
    /// found to crash servers.
    async fn start_in_time(
        &mut self,
        left: time::Duration,
    ) -> Result<ResponseStart, refusal::Refusal> {
        let cx = sync::Arc::clone(&self.req.cx);
        let content = sync::Arc::clone(&self.content);
        let wait = tokio::select! {
            biased;
            wait = cx.wait_until_quarantined(&content) => wait,
            started = tokio::time::timeout(left, self.start_response()) => {
                return started.unwrap_or(Err(refusal::Refusal::TimedOut));
            }
            () = cx.wait_for_drain_timeout() => return Err(self.stopped()),
        };
        cx.wait_until_reported(&content).await;
        if self.may_have_run() {
            return Err(refusal::Refusal::FateUnknown);
        }
        Err(refusal::Refusal::Quarantined(wait))
    }

    /// Returns the refusal of a request that has no response when this entry ends.
    fn stopped(&self) -> refusal::Refusal {
        if self.may_have_run() {
            refusal::Refusal::FateUnknown
        } else {
            refusal::Refusal::Leaving
        }
    }

    /// Returns whether the response is complete before this entry ends, if that is being stopped.
    fn fits_planned_stop(&self, placed: &placement::Placed) -> bool {
        let server = &placed.primary;
        let slowdown = self.req.cx.state().loads.health(server).slowdown();
        !placed.outlasts_stop() && self.req.fits_planned_stop(slowdown)
    }

    /// Returns whether a server may have run the request, or may be running it.
    fn may_have_run(&self) -> bool {
        self.attempts.runs() > 0 || !matches!(self.stage, Stage::Placing)
    }

    /// Makes attempts until one has a complete response, or the first event of a stream.
    async fn start_response(&mut self) -> Result<ResponseStart, refusal::Refusal> {
        loop {
            let start = if self.may_hedge() {
                self.start_hedged().await?
            } else {
                let response = self.attempt().await?;
                self.start(response).await?
            };
            if let Some(start) = start {
                return Ok(start);
            }
        }
    }

    /// Waits until a response is complete, or for the first event of a stream; none if it broke off
    /// and the request may be repeated.
    async fn start(
        &mut self,
        response: attempt::Response,
    ) -> Result<Option<ResponseStart>, refusal::Refusal> {
        let server = response.guards.server.clone();
        let status = response.parts.status;
        let is_stream = self.req.route.kind.is_stream() && status.is_success();
        let result = if is_stream {
            let budget = &self.req.cx.memory;
            streaming::Stream::start(response, self.last_event, budget)
                .await
                .map(ResponseStart::Stream)
        } else {
            self.read_whole(response).await
        };
        match result {
            Ok(start) => {
                self.record_begun(status);
                Ok(Some(start))
            }
            Err(reason) => {
                self.broke_off(&server, &reason).await?;
                Ok(None)
            }
        }
    }

    /// Records that a server has begun to answer with this status.
    fn record_begun(&mut self, status: http::StatusCode) {
        self.has_begun = true;
        if self.is_answer(status) {
            self.req.cx.record_answer(&self.content);
        }
    }

    /// Returns whether a response with this status shows that the request crashes no server: an
    /// engine may reject a prompt before it reads it.
    fn is_answer(&self, status: http::StatusCode) -> bool {
        let is_call = self.content.prompt_parts().is_empty();
        status.is_success() || (is_call && !status.is_server_error())
    }

    /// Reads a response that is not a stream: the whole of it, unless there is no memory for it.
    async fn read_whole(
        &self,
        response: attempt::Response,
    ) -> Result<ResponseStart, upstream::Broken> {
        let status = response.parts.status;
        if status.is_server_error() && self.may_try_again() {
            return Err(format!("answered {status}").into());
        }
        let budget = &self.req.cx.memory;
        let buffered = passing::read(response, MAX_RESPONSE_BYTES, budget).await?;
        Ok(self.pass_on(buffered))
    }

    /// Returns the response as far as it was read.
    fn pass_on(&self, mut buffered: passing::Buffered) -> ResponseStart {
        if let Some(rest) = buffered.rest.take() {
            return ResponseStart::Partial(Box::new((buffered, rest)));
        }
        let status = buffered.parts.status;
        let mut passed_on = http::Response::new(exchange::full_body(buffered.bytes));
        *passed_on.status_mut() = status;
        *passed_on.headers_mut() = headers::for_client(&buffered.parts.headers);
        let server = &buffered.guards.server;
        self.record_health(status, server);
        self.record_end(
            "answered",
            status.as_u16(),
            server,
            &streaming::Timing::default(),
        );
        ResponseStart::Whole(passed_on)
    }

    /// Records what a complete response with this status says of its server.
    pub(super) fn record_health(&self, status: http::StatusCode, server: &str) {
        if status.is_server_error() {
            attempt::record_failure(&self.req, server);
        } else {
            self.req
                .cx
                .state()
                .loads
                .health_mut(server)
                .record_success();
        }
    }

    /// Makes attempts until one gets the head of a response.
    pub(super) async fn attempt(&mut self) -> Result<attempt::Response, refusal::Refusal> {
        loop {
            let (placed, job) = self.place_next().await?;
            let timeout = self.attempt_timeout(&placed, 0);
            let (last_event, is_sent) = (self.last_event, atomic::AtomicBool::new(false));
            let sending = attempt::run(&self.req, &placed, job, last_event, timeout, &is_sent);
            let result = sending.await;
            match result {
                Ok(response) => {
                    self.req.cx.metrics.attempt("answered");
                    self.attempts.record_run();
                    self.stage = Stage::WaitingForFirstEvent;
                    return Ok(response);
                }
                Err(attempt::Failure::NotRun {
                    reason,
                    has_arrived,
                }) => self.not_run(&placed.primary, &reason, has_arrived)?,
                Err(attempt::Failure::Unknown(reason)) => {
                    self.attempts.record_run();
                    self.broke_off(&placed.primary, &reason).await?;
                }
            }
        }
    }

    /// Places the next attempt, which is sent from now on.
    async fn place_next(&mut self) -> Result<(placement::Placed, job::JobGuard), refusal::Refusal> {
        self.stage = Stage::Placing;
        let (placed, job) = self.wait_for_place().await?;
        if !self.may_have_run() && !self.fits_planned_stop(&placed) {
            return Err(refusal::Refusal::Leaving);
        }
        self.log_placed(&placed, 0);
        self.tried.push(placed.primary.clone());
        self.stage = Stage::WaitingForHead;
        self.sent_at = self.req.cx.now();
        Ok((placed, job))
    }

    /// Places the request, retrying for a small part of its route's objective; if it cannot be
    /// placed by then, it is refused.
    async fn wait_for_place(
        &mut self,
    ) -> Result<(placement::Placed, job::JobGuard), refusal::Refusal> {
        let mut since = if self.tried.is_empty() {
            self.req.arrived_at
        } else {
            self.req.cx.now()
        };
        if self.service.engine.is_some() {
            // Right after a start; the request keeps its time to be placed.
            since += self.req.cx.wait_until_acquainted().await;
        }
        let until = since + self.longest_wait();
        loop {
            let waited = self.req.cx.now().saturating_sub(since);
            match self.place(cost_limit::share(waited, self.req.route.objective)) {
                Ok(placed) => return Ok(placed),
                Err(e) if e.is_transient() && self.req.cx.now() < until => {
                    tokio::time::sleep(PLACEMENT_INTERVAL).await;
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
        let wait = cost_limit::max_wait(self.req.route.objective);
        if self.tried.is_empty() {
            wait
        } else {
            wait.max(MIN_REPLACEMENT_WAIT)
        }
    }

    /// Places the request where it costs others no more than `cost_limit` times its weight.
    fn place(
        &self,
        cost_limit: f64,
    ) -> Result<(placement::Placed, job::JobGuard), placement::NotPlaced> {
        let need = placement::Need {
            max_cost_share: cost_limit,
            ..self.need()
        };
        let mut request = cx::PlacementRequest {
            service: &self.service,
            need,
            tried: &self.tried,
            account: self.account(),
        };
        let mut placed = self.req.cx.place(&request);
        let is_without_server = matches!(
            placed,
            Err(placement::NotPlaced::NoServer | placement::NotPlaced::BackedOff { .. })
        );
        if is_without_server && !self.tried.is_empty() {
            // No other server is left; one that was tried may have recovered.
            request.tried = &[];
            placed = self.req.cx.place(&request);
        }
        placed
    }

    /// Returns what the next attempt needs; for a stream that has begun, waiting counts from now.
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
            placement::NotPlaced::NoServer => refusal::Refusal::NoServer(NO_SERVER_RETRY_AFTER),
            placement::NotPlaced::BackedOff { retry_after } => {
                refusal::Refusal::BackedOff(self.retry_no_earlier(retry_after))
            }
            placement::NotPlaced::Full { retry_after } => {
                refusal::Refusal::Full(self.retry_around(retry_after))
            }
            placement::NotPlaced::TooCostly { retry_after, .. } => {
                refusal::Refusal::TooDear(self.retry_around(retry_after))
            }
            placement::NotPlaced::WouldCut { retry_after } => {
                refusal::Refusal::TooDear(self.retry_no_earlier(retry_after))
            }
            placement::NotPlaced::OverShare { retry_after, .. } => {
                refusal::Refusal::OverShare(self.retry_no_earlier(retry_after))
            }
            placement::NotPlaced::TooLate { retry_after, .. } => {
                refusal::Refusal::TooLate(self.retry_around(retry_after))
            }
        }
    }

    /// Returns a retry delay around `retry_after`, capped to a share of the caller's time. The
    /// jitter keeps callers that were refused together from retrying together.
    fn retry_around(&self, retry_after: time::Duration) -> time::Duration {
        let jitter = rand::random_range(0.75..1.25);
        self.cap_retry_after(retry_after.mul_f64(jitter))
    }

    /// Returns a retry delay of `retry_after` or more, capped to a share of the caller's time, for
    /// the case that no server accepts a request earlier. The jitter keeps callers that were
    /// refused together from retrying together.
    fn retry_no_earlier(&self, retry_after: time::Duration) -> time::Duration {
        let jitter = rand::random_range(1.0..1.25);
        self.cap_retry_after(retry_after.mul_f64(jitter))
    }

    fn cap_retry_after(&self, wait: time::Duration) -> time::Duration {
        /// Largest share of its time left for which a client waits before a retry.
        const MAX_WAIT_SHARE: f64 = 0.32;
        let left = self.req.time_left(self.req.cx.now());
        wait.min(left.mul_f64(MAX_WAIT_SHARE))
    }

    /// Returns how long an attempt may wait for the head of a response, and a stream for its first
    /// event, while `running` others continue.
    fn attempt_timeout(&self, placed: &placement::Placed, running: u32) -> time::Duration {
        let left = self.req.deadline().saturating_sub(self.req.cx.now());
        let may_retry = self.attempts.runs() + running + 1 < self.req.route.max_attempts;
        match self.req.route.kind {
            routes::RouteKind::Idempotent if may_retry => left.mul_f64(ATTEMPT_SHARE),
            // Not even the last attempt may hold reserved memory for a server that does not begin.
            kind if kind.is_stream() && holds_memory(placed) => {
                let idle = self.req.cx.settings.bounds.memory_idle;
                left.min(silent_after(placed))
                    .min(idle.mul_f64(MEMORY_IDLE_SHARE))
            }
            kind if kind.is_stream() && may_retry => left.min(silent_after(placed)),
            _ => left,
        }
    }

    /// Returns whether a request that may have run may be sent to another server.
    fn may_try_again(&self) -> bool {
        self.req.route.kind.is_retryable() && self.attempts.runs() < self.req.route.max_attempts
    }

    /// Records that the server did not run the request; an error ends the request.
    fn not_run(
        &mut self,
        server: &str,
        reason: &str,
        has_arrived: bool,
    ) -> Result<(), refusal::Refusal> {
        self.attempts.record_not_run(has_arrived);
        let has_budget = || !has_arrived || self.req.cx.take_retry(&self.service.name);
        let leads_nowhere = !has_arrived && self.req.cx.state().paths.leads_nowhere();
        let will_retry = !leads_nowhere && self.attempts.may_retry() && has_budget();
        self.log_failed(server, "not_run", reason, will_retry);
        if will_retry {
            return Ok(());
        }
        if self.attempts.runs() > 0 {
            return Err(refusal::Refusal::FateUnknown);
        }
        if leads_nowhere {
            return Err(refusal::Refusal::NoServer(NO_SERVER_RETRY_AFTER));
        }
        Err(refusal::Refusal::TurnedAway(REJECTED_RETRY_AFTER))
    }

    /// Records that a stream has stalled; returns whether it may resume at another server.
    pub(super) fn stalled(&mut self, server: &str, reason: &str) -> bool {
        attempt::record_failure(&self.req, server);
        let will_retry = self.may_try_again() && self.req.cx.take_retry(&self.service.name);
        if will_retry {
            self.log_failed(server, "unknown", reason, will_retry);
        }
        will_retry
    }

    /// Records that an attempt which may have run broke off; an error ends the request.
    pub(super) async fn broke_off(
        &mut self,
        server: &str,
        broken: &upstream::Broken,
    ) -> Result<(), refusal::Refusal> {
        attempt::record_failure(&self.req, server);
        self.record_invalid(server, broken);
        let check = self.check_for_crash(server, broken.is_closed);
        let will_retry = self.may_try_again() && self.req.cx.take_retry(&self.service.name);
        self.log_failed(server, "unknown", &broken.reason, will_retry);
        if let Some(check) = check {
            self.wait_for_check(check, will_retry).await;
        }
        if will_retry {
            Ok(())
        } else {
            Err(refusal::Refusal::FateUnknown)
        }
    }

    /// Waits until other entries know of a crash, before the request is repeated by this entry or by
    /// its client. The first crash under a request delays no retry.
    async fn wait_for_check(&mut self, check: crashes::CheckDone, will_retry: bool) {
        let is_suspected = self.crashes > 0 || self.req.cx.is_suspected(&self.content);
        self.crashes += 1;
        if is_suspected {
            check.await;
        } else if !will_retry {
            // A server that answers nothing at all is not known to have crashed.
            drop(tokio::time::timeout(crashes::REPORT_TIME, check).await);
        }
        if !will_retry {
            self.req.cx.wait_until_reported(&self.content).await;
        }
    }

    /// Checks whether the server has crashed under this request, if none had begun to answer it.
    /// Common requests are checked only if the server closed the connection.
    fn check_for_crash(&self, server: &str, is_closed: bool) -> Option<crashes::CheckDone> {
        if self.has_begun || (self.content.is_common() && !is_closed) {
            return None;
        }
        let is_resumed = self.req.head.last_event_id.is_some();
        let parts = quarantine::Suspect::new(&self.req.head.prompt_parts);
        let suspect = crashes::Suspect {
            parts: parts.filter(|_| !is_resumed),
            request: self.content.fingerprint(),
            sent_at: self.content.is_common().then_some(self.sent_at),
        };
        self.req.cx.check_for_crash(server, suspect)
    }
}
