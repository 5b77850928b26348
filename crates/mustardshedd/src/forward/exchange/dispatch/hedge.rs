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
struct Leg {
    attempt: hedging::Attempt,
    server: ids::BackendServerId,
    /// Time that its answer was expected to take.
    expected: time::Duration,
    placed_at: ids::Timestamp,
    is_sent: sync::Arc<atomic::AtomicBool>,
}

/// A response that may be passed on.
#[derive(Debug)]
enum Begun {
    /// A stream with its first event.
    Stream(Box<streaming::Stream>),
    /// A response as far as it was read.
    Whole(Box<passing::Buffered>),
}

/// Why an attempt has no response that wins.
#[derive(Debug)]
enum Lost {
    /// There is no response.
    NoResponse(attempt::Failure),
    /// The head of an error response, which is passed on only if no other attempt follows.
    ErrorResponse(Box<attempt::Response>),
}

/// An attempt that has ended.
#[derive(Debug)]
struct Landed {
    leg: Leg,
    result: Result<Begun, Lost>,
}

/// The attempts that run at the same time; dropping them closes their connections.
#[derive(Default)]
struct Legs {
    race: hedging::Race,
    placed: Vec<Leg>,
    running: stream::FuturesUnordered<future::BoxFuture<'static, Landed>>,
}

impl Leg {
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
    async fn land(
        self,
        req: sync::Arc<exchange::Admitted>,
        placed: placement::Placed,
        job: job::JobGuard,
        timeout: time::Duration,
    ) -> Landed {
        let last_event = req.head.last_event_id;
        let sending = attempt::run(&req, &placed, job, last_event, timeout, &self.is_sent);
        let result = match sending.await {
            Ok(response) => begin(&req, response).await,
            Err(failure) => Err(Lost::NoResponse(failure)),
        };
        Landed { leg: self, result }
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
async fn begin(req: &exchange::Admitted, response: attempt::Response) -> Result<Begun, Lost> {
    let status = response.parts.status;
    if status.is_server_error() {
        return Err(Lost::ErrorResponse(Box::new(response)));
    }
    let budget = &req.cx.memory;
    let begun = if req.route.kind.is_stream() && status.is_success() {
        let started = streaming::Stream::start(response, req.head.last_event_id, budget);
        started.await.map(Begun::Stream)
    } else {
        let read = passing::read(response, MAX_RESPONSE_BYTES, budget).await;
        read.map(|buffered| Begun::Whole(Box::new(buffered)))
    };
    begun.map_err(|broken| Lost::NoResponse(attempt::Failure::Unknown(broken)))
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
        let mut legs = Legs::default();
        self.send(&mut legs, hedging::Attempt::First, placed, job);
        let first = legs.placed[0].clone();
        let due_after = self
            .req
            .cx
            .hedge_due_after(&self.req.route.name, first.expected);
        if due_after.is_none() {
            legs.race.decide(false);
        }
        let due = tokio::time::sleep(due_after.unwrap_or_default());
        tokio::pin!(due);
        loop {
            let Landed { leg, result } = tokio::select! {
                biased;
                Some(landed) = legs.running.next() => landed,
                () = &mut due, if legs.race.is_open() => {
                    let second = self.hedge(&first);
                    legs.race.decide(second.is_some());
                    if let Some((placed, job)) = second {
                        self.send(&mut legs, hedging::Attempt::Second, placed, job);
                    }
                    continue;
                }
            };
            let lost = match result {
                Ok(begun) => return Ok(Some(self.won(legs, &leg, begun))),
                Err(lost) => lost,
            };
            match legs.race.end(leg.attempt) {
                hedging::Next::Wait => self.lost_beside(&leg, lost),
                hedging::Next::Fail => return self.lost(&leg, lost).await,
            }
        }
    }

    /// Sends the request to the server where it was placed.
    fn send(
        &self,
        legs: &mut Legs,
        attempt: hedging::Attempt,
        placed: placement::Placed,
        job: job::JobGuard,
    ) {
        let leg = Leg::new(attempt, &self.req, &placed);
        let running = u32::from(attempt == hedging::Attempt::Second);
        let timeout = self.attempt_timeout(&placed, running);
        let req = sync::Arc::clone(&self.req);
        legs.running
            .push(leg.clone().land(req, placed, job, timeout).boxed());
        legs.placed.push(leg);
    }

    /// Places a second attempt, unless a limit forbids it.
    fn hedge(&mut self, first: &Leg) -> Option<(placement::Placed, job::JobGuard)> {
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
            // What the first attempt has lost is no cost of the second.
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
        if !self.fits_planned_stop(&placed.primary) {
            return Err(hedging::Denied::NotPlaced);
        }
        cx.take_hedge(&service.name)?;
        Ok((placed, job))
    }

    /// Cancels the attempt that still runs and records the one that won; returns its response.
    fn won(&mut self, mut legs: Legs, won: &Leg, begun: Begun) -> ResponseStart {
        // Dropping the other attempt closes its connection and ends its job.
        drop(legs.running);
        let running = legs.race.cancel(won.attempt);
        let cancelled = legs.placed.iter().find(|leg| Some(leg.attempt) == running);
        if let Some(cancelled) = cancelled {
            self.record_cancelled(cancelled);
        }
        if legs.placed.len() > 1 {
            self.log_hedge_ended(won, cancelled);
        }
        self.req.cx.metrics.attempt("answered");
        self.attempts.record_run();
        let (start, status) = match begun {
            Begun::Stream(stream) => (ResponseStart::Stream(stream), http::StatusCode::OK),
            Begun::Whole(buffered) => {
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
    fn record_cancelled(&mut self, leg: &Leg) {
        if leg.attempt == hedging::Attempt::First {
            leg.record_time(&self.req);
        }
        if leg.may_have_run() {
            self.req.cx.metrics.attempt("cancelled");
            self.attempts.record_run();
        }
    }

    fn log_hedge_ended(&self, won: &Leg, cancelled: Option<&Leg>) {
        let now = self.req.cx.now();
        self.req.cx.metrics.hedge_won(won.attempt);
        log::emit(&event::Event::HedgeEnded {
            request: self.req.id(),
            route: &self.req.route.name,
            won: won.attempt.code(),
            server: &won.server,
            cancelled: cancelled.map_or("", |leg| &leg.server),
            elapsed_ms: now.saturating_sub(won.placed_at).as_millis(),
        });
    }

    /// Records an attempt that failed while the other one continues, which takes the place of the
    /// retry.
    fn lost_beside(&mut self, leg: &Leg, lost: Lost) {
        let server = &leg.server;
        let broken = match lost {
            Lost::NoResponse(attempt::Failure::NotRun {
                reason,
                has_arrived,
            }) => {
                self.attempts.record_not_run(has_arrived);
                self.log_failed(server, "not_run", &reason, true);
                return;
            }
            Lost::NoResponse(attempt::Failure::Unknown(broken)) => broken,
            Lost::ErrorResponse(response) => {
                self.req.cx.metrics.attempt("answered");
                format!("answered {}", response.parts.status).into()
            }
        };
        self.attempts.record_run();
        attempt::record_failure(&self.req, server);
        self.sent_at = leg.placed_at;
        // The check goes on by itself; a retry would not have waited for it either.
        if self.check_for_crash(server, broken.is_closed).is_some() {
            self.crashes += 1;
        }
        self.log_failed(server, "unknown", &broken.reason, true);
    }

    /// Handles the failure of the last attempt that ran, like that of an attempt without another
    /// one beside it.
    async fn lost(
        &mut self,
        leg: &Leg,
        lost: Lost,
    ) -> Result<Option<ResponseStart>, refusal::Refusal> {
        self.sent_at = leg.placed_at;
        match lost {
            Lost::NoResponse(attempt::Failure::NotRun {
                reason,
                has_arrived,
            }) => self.not_run(&leg.server, &reason, has_arrived)?,
            Lost::NoResponse(attempt::Failure::Unknown(broken)) => {
                self.attempts.record_run();
                self.broke_off(&leg.server, &broken).await?;
            }
            Lost::ErrorResponse(response) => {
                self.req.cx.metrics.attempt("answered");
                self.attempts.record_run();
                return self.start(*response).await;
            }
        }
        Ok(None)
    }
}
