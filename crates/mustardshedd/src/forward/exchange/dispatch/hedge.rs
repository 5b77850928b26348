//! A second attempt at another server beside the first, if that takes unusually long.

use std::{
    sync::{self, atomic},
    time,
};

use futures_util::{FutureExt, StreamExt, future, stream};
use mustardshed::core::{
    forward::{engine, hedging, placement},
    ids,
};

use crate::{
    forward::{
        cx,
        exchange::{
            self, attempt,
            dispatch::{Dispatch, MAX_RESPONSE_BYTES, ResponseStart},
            passing, streaming,
        },
        job, refusal,
    },
    log::{self, event},
};

/// An attempt that was placed.
#[derive(Clone, Debug)]
struct Sent {
    attempt: hedging::Attempt,
    server: ids::BackendServerId,
    /// Time that its answer was expected to take.
    expected: time::Duration,
    placed_at: ids::Timestamp,
    is_sent: sync::Arc<atomic::AtomicBool>,
}

/// A response that may be passed on.
#[derive(Debug)]
enum Started {
    /// A stream with its first event.
    Stream(Box<streaming::Stream>),
    /// A response as far as it was read.
    Whole(Box<passing::Buffered>),
}

/// Why an attempt has no response that wins.
#[derive(Debug)]
enum Failed {
    /// There is no response.
    NoResponse(attempt::Failure),
    /// The head of an error response, which is passed on only if no other attempt follows.
    ErrorResponse(Box<attempt::Response>),
}

/// An attempt that has ended.
#[derive(Debug)]
struct Finished {
    sent: Sent,
    result: Result<Started, Failed>,
}

/// The attempts that run at the same time; dropping them closes their connections.
#[derive(Default)]
struct Pair {
    race: hedging::Race,
    placed: Vec<Sent>,
    running: stream::FuturesUnordered<future::BoxFuture<'static, Finished>>,
}

impl Sent {
    fn new(
        attempt: hedging::Attempt,
        req: &exchange::Admitted,
        placed: &placement::Placed,
    ) -> Self {
        let is_stream = req.route.kind.is_stream();
        let estimate = engine::millis(placed.estimate_ms);
        Self {
            attempt,
            server: placed.primary.clone(),
            expected: if is_stream {
                estimate
            } else {
                time::Duration::ZERO
            },
            placed_at: req.cx.now(),
            is_sent: sync::Arc::default(),
        }
    }

    /// Makes the attempt, up to a complete response or the first event of a stream.
    async fn run(
        self,
        req: sync::Arc<exchange::Admitted>,
        placed: placement::Placed,
        job: job::JobGuard,
        timeout: time::Duration,
    ) -> Finished {
        let last_event = req.head.last_event_id;
        let sending = attempt::run(&req, &placed, job, last_event, timeout, &self.is_sent);
        let result = match sending.await {
            Ok(response) => start_response(&req, response).await,
            Err(failure) => Err(Failed::NoResponse(failure)),
        };
        Finished { sent: self, result }
    }

    /// Returns whether a server may have run the request in this attempt.
    fn may_have_run(&self) -> bool {
        self.is_sent.load(atomic::Ordering::Relaxed)
    }

    /// Records how long the attempt has taken.
    fn record_time(&self, req: &exchange::Admitted) {
        let took = req.cx.now().saturating_sub(self.placed_at);
        let route = &req.route.name;
        req.cx.record_answer_time(route, took, self.expected);
    }
}

/// Waits until a response is complete, or for the first event of a stream.
async fn start_response(
    req: &exchange::Admitted,
    response: attempt::Response,
) -> Result<Started, Failed> {
    let status = response.parts.status;
    if status.is_server_error() {
        return Err(Failed::ErrorResponse(Box::new(response)));
    }
    let budget = &req.cx.memory;
    let started = if req.route.kind.is_stream() && status.is_success() {
        let started = streaming::Stream::start(response, req.head.last_event_id, budget);
        started.await.map(Started::Stream)
    } else {
        let read = passing::read(response, MAX_RESPONSE_BYTES, budget).await;
        read.map(|buffered| Started::Whole(Box::new(buffered)))
    };
    started.map_err(|broken| Failed::NoResponse(attempt::Failure::Unknown(broken)))
}

impl Dispatch {
    /// Returns whether the next attempt may have a second one beside it.
    pub(super) fn may_hedge(&self) -> bool {
        let is_resumed = self.req.head.last_event_id.is_some();
        self.req.cx.settings.hedging.is_some()
            && hedging::is_eligible(&self.req.route, self.attempts.count(), is_resumed)
    }

    /// Makes an attempt, and a second one beside it if the first takes unusually long, until one has
    /// a response to pass on; none if both failed and the request may be repeated.
    pub(super) async fn start_hedged(&mut self) -> Result<Option<ResponseStart>, refusal::Refusal> {
        let (placed, job) = self.place_next().await?;
        let mut pair = Pair::default();
        self.send(&mut pair, hedging::Attempt::First, placed, job);
        let first = pair.placed[0].clone();
        let due_after = self
            .req
            .cx
            .hedge_due_after(&self.req.route.name, first.expected);
        if due_after.is_none() {
            pair.race.decide(false);
        }
        let due = tokio::time::sleep(due_after.unwrap_or_default());
        tokio::pin!(due);
        loop {
            let Finished { sent, result } = tokio::select! {
                biased;
                Some(finished) = pair.running.next() => finished,
                () = &mut due, if pair.race.is_open() => {
                    let second = self.hedge(&first);
                    pair.race.decide(second.is_some());
                    if let Some((placed, job)) = second {
                        self.send(&mut pair, hedging::Attempt::Second, placed, job);
                    }
                    continue;
                }
            };
            let failed = match result {
                Ok(started) => return Ok(Some(self.finish(pair, &sent, started))),
                Err(failed) => failed,
            };
            match pair.race.end(sent.attempt) {
                hedging::Next::Wait => self.record_failure_beside(&sent, failed),
                hedging::Next::Fail => return self.fail(&sent, failed).await,
            }
        }
    }

    /// Sends the request to the server where it was placed.
    fn send(
        &self,
        pair: &mut Pair,
        attempt: hedging::Attempt,
        placed: placement::Placed,
        job: job::JobGuard,
    ) {
        let sent = Sent::new(attempt, &self.req, &placed);
        let running = u32::from(attempt == hedging::Attempt::Second);
        let timeout = self.attempt_timeout(&placed, running);
        let req = sync::Arc::clone(&self.req);
        pair.running
            .push(sent.clone().run(req, placed, job, timeout).boxed());
        pair.placed.push(sent);
    }

    /// Places a second attempt, unless a limit forbids it.
    fn hedge(&mut self, first: &Sent) -> Option<(placement::Placed, job::JobGuard)> {
        let cx = &self.req.cx;
        let (request, route) = (self.req.id(), self.req.route.name.as_str());
        let after_ms = cx.now().saturating_sub(first.placed_at).as_millis();
        match self.place_second() {
            Ok((placed, job)) => {
                cx.metrics.hedged(self.req.route.kind);
                log::emit(&event::Event::HedgeSent {
                    request,
                    route,
                    server: &placed.primary,
                    first: &first.server,
                    after_ms,
                });
                self.log_placed(&placed, 1);
                self.tried.push(placed.primary.clone());
                Some((placed, job))
            }
            Err(denied) => {
                cx.metrics.hedge_denied(denied);
                log::emit(&event::Event::HedgeDenied {
                    request,
                    route,
                    reason: &denied.to_string(),
                    after_ms,
                });
                None
            }
        }
    }

    fn place_second(&self) -> Result<(placement::Placed, job::JobGuard), hedging::Denied> {
        let (cx, service) = (&self.req.cx, &self.service);
        cx.check_hedge(&service.name, &self.tried, &self.content)?;
        let need = self.req.need();
        let now = cx.now();
        let waited = now.saturating_sub(need.arrived_at);
        let need = placement::Need {
            // The time that the first attempt took is no cost of the second.
            arrived_at: now,
            timeout_ms: (need.timeout_ms - exchange::millis(waited)).max(0.0),
            max_cost_share: hedging::MAX_COST_SHARE,
            ..need
        };
        let placed = cx.place(&cx::PlacementRequest {
            service,
            account: self.account(),
            need,
            tried: &self.tried,
        });
        let (placed, job) = placed.map_err(|_| hedging::Denied::NotPlaced)?;
        if !self.fits_planned_stop(&placed) {
            return Err(hedging::Denied::NotPlaced);
        }
        cx.take_hedge(&service.name)?;
        Ok((placed, job))
    }

    /// Cancels the attempt that still runs and records the one that won; returns its response.
    fn finish(&mut self, mut pair: Pair, won: &Sent, started: Started) -> ResponseStart {
        // Dropping the other attempt closes its connection and ends its job.
        drop(pair.running);
        let running = pair.race.cancel(won.attempt);
        let cancelled = pair
            .placed
            .iter()
            .find(|sent| Some(sent.attempt) == running);
        if let Some(cancelled) = cancelled {
            self.record_cancelled(cancelled);
        }
        if pair.placed.len() > 1 {
            self.log_hedge_ended(won, cancelled);
        }
        self.req.cx.metrics.attempt("answered");
        self.attempts.record_run();
        let (start, status) = match started {
            Started::Stream(stream) => (ResponseStart::Stream(stream), http::StatusCode::OK),
            Started::Whole(buffered) => {
                let status = buffered.parts.status;
                (self.pass_on(*buffered), status)
            }
        };
        if status.is_success() {
            won.record_time(&self.req);
        }
        self.record_begun(status);
        start
    }

    /// Records an attempt that was cancelled. A first one has taken at least this long: without it,
    /// slow answers would be missing from what is usual.
    fn record_cancelled(&mut self, sent: &Sent) {
        if sent.attempt == hedging::Attempt::First {
            sent.record_time(&self.req);
        }
        if sent.may_have_run() {
            self.req.cx.metrics.attempt("cancelled");
            self.attempts.record_run();
        }
    }

    fn log_hedge_ended(&self, won: &Sent, cancelled: Option<&Sent>) {
        let now = self.req.cx.now();
        self.req.cx.metrics.hedge_won(won.attempt);
        log::emit(&event::Event::HedgeEnded {
            request: self.req.id(),
            route: &self.req.route.name,
            won: won.attempt.code(),
            server: &won.server,
            cancelled: cancelled.map_or("", |sent| &sent.server),
            elapsed_ms: now.saturating_sub(won.placed_at).as_millis(),
        });
    }

    /// Records an attempt that failed while the other one continues, which takes the place of the
    /// retry.
    fn record_failure_beside(&mut self, sent: &Sent, failed: Failed) {
        let server = &sent.server;
        let broken = match failed {
            Failed::NoResponse(attempt::Failure::NotRun {
                reason,
                has_arrived,
            }) => {
                self.attempts.record_not_run(has_arrived);
                self.log_failed(server, "not_run", &reason, true);
                return;
            }
            Failed::NoResponse(attempt::Failure::Unknown(broken)) => broken,
            Failed::ErrorResponse(response) => {
                self.req.cx.metrics.attempt("answered");
                format!("answered {}", response.parts.status).into()
            }
        };
        self.attempts.record_run();
        attempt::record_failure(&self.req, server);
        self.sent_at = sent.placed_at;
        // The check goes on by itself; a retry would not have waited for it either.
        if self.check_for_crash(server, broken.is_closed).is_some() {
            self.crashes += 1;
        }
        self.log_failed(server, "unknown", &broken.reason, true);
    }

    /// Handles the failure of the last attempt that ran, like that of an attempt without another
    /// one beside it.
    async fn fail(
        &mut self,
        sent: &Sent,
        failed: Failed,
    ) -> Result<Option<ResponseStart>, refusal::Refusal> {
        self.sent_at = sent.placed_at;
        match failed {
            Failed::NoResponse(attempt::Failure::NotRun {
                reason,
                has_arrived,
            }) => self.not_run(&sent.server, &reason, has_arrived)?,
            Failed::NoResponse(attempt::Failure::Unknown(broken)) => {
                self.attempts.record_run();
                self.broke_off(&sent.server, &broken).await?;
            }
            Failed::ErrorResponse(response) => {
                self.req.cx.metrics.attempt("answered");
                self.attempts.record_run();
                return self.start(*response).await;
            }
        }
        Ok(None)
    }
}
