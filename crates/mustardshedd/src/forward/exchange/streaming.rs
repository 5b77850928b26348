//! A stream of events on its way to the client, resumed at another server if its route allows it.

use std::{collections, sync, time};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body;
use mustardshed::{core::ids, platform::headers};

use crate::forward::{
    exchange::{self, attempt, dispatch, events},
    memory, refusal, upstream,
};

mod read_ahead;

/// A server's stream whose first event has arrived.
#[derive(Debug)]
pub(super) struct Stream {
    status: http::StatusCode,
    headers: http::HeaderMap,
    source: EventSource,
    /// Events received and not yet passed on.
    pending: collections::VecDeque<events::Event>,
}

/// Source of a stream's events: one response of a server.
#[derive(Debug)]
struct EventSource {
    body: upstream::ResponseBody,
    events: events::EventSplitter,
    /// Memory of the event that has not arrived completely.
    memory: memory::Held,
    guards: attempt::Guards,
    /// Identifier of the last event received.
    last_event: Option<u64>,
}

impl Stream {
    /// Waits for the first event of a response that continues after `last_event`.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke off.
    pub(super) async fn start(
        response: attempt::Response,
        last_event: Option<u64>,
        budget: &memory::Budget,
    ) -> Result<Box<Self>, upstream::Broken> {
        let memory = memory::Held::none(budget);
        response
            .guards
            .connection_task
            .limit_body(events::MAX_EVENT_BYTES);
        let mut source = EventSource {
            body: response.body,
            events: events::EventSplitter::default(),
            memory,
            guards: response.guards,
            last_event,
        };
        let first = tokio::time::timeout(response.first_event_timeout, source.next()).await;
        let first = first.map_err(|_| "no event in time".to_owned())??;
        Ok(Box::new(Self {
            status: response.parts.status,
            headers: headers::for_client(&response.parts.headers),
            source,
            pending: first.into_iter().collect(),
        }))
    }
}

impl EventSource {
    /// Waits for the next event; none at the end of the stream.
    async fn next(&mut self) -> Result<Option<events::Event>, upstream::Broken> {
        loop {
            if let Some(event) = self.events.next() {
                self.check(&event)?;
                self.guards
                    .connection_task
                    .limit_body(events::MAX_EVENT_BYTES);
                self.guards.record_event();
                return Ok(Some(event));
            }
            if self.events.is_overlong() {
                return Err("an event exceeds the size limit".to_owned().into());
            }
            match self.body.next_piece().await? {
                Some(data) => {
                    let capacity = (self.events.buffered() + data.len()).next_power_of_two();
                    let covered = self.memory.cover(capacity);
                    covered.map_err(|e| e.to_string())?;
                    self.events.push(&data);
                }
                None if self.events.is_partial() => {
                    return Err("partial last event".to_owned().into());
                }
                None => return Ok(None),
            }
        }
    }

    /// Checks that event identifiers increase.
    fn check(&mut self, event: &events::Event) -> Result<(), String> {
        if event.id.is_some() && event.id <= self.last_event {
            return Err("events are out of order".to_owned());
        }
        self.last_event = event.id.or(self.last_event);
        Ok(())
    }
}

/// Returns the response that passes a stream on to the client.
pub(super) fn response(dispatch: dispatch::Dispatch, stream: Stream) -> exchange::Response {
    let mut response = http::Response::new(());
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers;
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let forwarder = Forwarder {
        dispatch,
        source: stream.source,
        pending: stream.pending,
        timing: Timing::default(),
        only_waits: false,
    };
    if forwarder.dispatch.req.cx.settings.read_ahead_bytes > 0 {
        return response.map(|()| forwarder.read_ahead());
    }
    let frames = stream::unfold(Some(forwarder), step);
    response.map(|()| BodyExt::boxed_unsync(http_body_util::StreamBody::new(frames)))
}

type Frame = Result<body::Frame<Bytes>, exchange::BodyError>;

/// The next event of a stream, none at its end, or why it broke off.
type NextEvent = Result<Option<events::Event>, upstream::Broken>;

/// Why a stream counts as stalled.
#[derive(Debug)]
struct Stalled(String);

fn unfinished(_: refusal::Refusal) -> exchange::BodyError {
    exchange::BodyError::Unfinished
}

struct Forwarder {
    dispatch: dispatch::Dispatch,
    source: EventSource,
    pending: collections::VecDeque<events::Event>,
    timing: Timing,
    /// Whether the stream has stalled and may not be resumed elsewhere, so that it is only waited
    /// for.
    only_waits: bool,
}

/// Timing of the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timing {
    /// Number of events passed on.
    pub(super) events: u64,
    /// Time from the request to the first event.
    pub(super) first: Option<time::Duration>,
    /// Longest time between two events.
    pub(super) longest_gap: time::Duration,
    last_at: ids::Timestamp,
}

impl Timing {
    fn record(&mut self, arrived_at: ids::Timestamp, now: ids::Timestamp) {
        self.events += 1;
        if self.first.is_none() {
            self.first = Some(now.saturating_sub(arrived_at));
        } else {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_at));
        }
        self.last_at = now;
    }
}

async fn step(forwarder: Option<Forwarder>) -> Option<(Frame, Option<Forwarder>)> {
    let mut forwarder = forwarder?;
    match forwarder.next().await {
        Ok(Some(event)) => {
            let req = &forwarder.dispatch.req;
            forwarder.timing.record(req.arrived_at, req.cx.now());
            forwarder.dispatch.last_event = event.id.or(forwarder.dispatch.last_event);
            Some((Ok(body::Frame::data(event.bytes)), Some(forwarder)))
        }
        Ok(None) => {
            forwarder.record_end("answered");
            None
        }
        Err(exchange::BodyError::Unfinished) => {
            forwarder.record_end("broken_off");
            Some((Err(exchange::BodyError::Unfinished), None))
        }
    }
}

/// Waits for the next event or the end of the stream, which may be read ahead of the client.
async fn receive(
    forwarder: Option<Forwarder>,
) -> Option<(read_ahead::Received, Option<Forwarder>)> {
    let mut forwarder = forwarder?;
    let outcome = match forwarder.next().await {
        Ok(Some(event)) => {
            forwarder.dispatch.last_event = event.id.or(forwarder.dispatch.last_event);
            return Some((read_ahead::Received::Event(event.bytes), Some(forwarder)));
        }
        Ok(None) => "answered",
        Err(exchange::BodyError::Unfinished) => "broken_off",
    };
    // Drops the response with its guards: the server has done its work.
    let ended = Ended {
        server: forwarder.source.guards.server.clone(),
        dispatch: forwarder.dispatch,
        outcome,
    };
    Some((read_ahead::Received::End(Box::new(ended)), None))
}

/// The end of a stream that is read ahead of its client.
#[derive(Debug)]
struct Ended {
    dispatch: dispatch::Dispatch,
    /// Server that sent the last event.
    server: ids::BackendServerId,
    outcome: &'static str,
}

impl read_ahead::End for Ended {
    fn is_complete(&self) -> bool {
        self.outcome == "answered"
    }

    fn record(self: Box<Self>, timing: &Timing) {
        let status = http::StatusCode::OK.as_u16();
        self.dispatch
            .record_end(self.outcome, status, &self.server, timing);
    }
}

impl Forwarder {
    /// Returns the body that reads the stream ahead of a slow client.
    fn read_ahead(self) -> exchange::Body {
        let req = &self.dispatch.req;
        let request = read_ahead::Request {
            cx: sync::Arc::clone(&req.cx),
            id: req.id().to_owned(),
            route: req.route.name.clone(),
            arrived_at: req.arrived_at,
        };
        read_ahead::body(request, Box::pin(stream::unfold(Some(self), receive)))
    }

    /// Waits for the next event until the request's deadline, from another server if this one
    /// breaks off.
    async fn next(&mut self) -> Result<Option<events::Event>, exchange::BodyError> {
        let req = &self.dispatch.req;
        let left = req.deadline().saturating_sub(req.cx.now());
        match tokio::time::timeout(left, self.next_in_time()).await {
            Ok(next) => next,
            Err(_) => Err(exchange::BodyError::Unfinished),
        }
    }

    async fn next_in_time(&mut self) -> Result<Option<events::Event>, exchange::BodyError> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Ok(Some(event));
            }
            let reason = match self.next_or_stall().await {
                Err(Stalled(reason)) => {
                    let server = self.source.guards.server.clone();
                    if self.dispatch.stalled(&server, &reason) {
                        self.resume_elsewhere().await?;
                    } else {
                        self.only_waits = true;
                    }
                    continue;
                }
                Ok(Ok(Some(event))) => return Ok(Some(event)),
                Ok(Ok(None)) => {
                    let server = &self.source.guards.server;
                    let cx = &self.dispatch.req.cx;
                    cx.state().loads.health_mut(server).record_success();
                    return Ok(None);
                }
                Ok(Err(reason)) => reason,
            };
            let server = self.source.guards.server.clone();
            self.dispatch
                .broke_off(&server, &reason)
                .await
                .map_err(unfinished)?;
            self.resume_elsewhere().await?;
        }
    }

    /// Waits for the next event for as long as a client tolerates, less the time that another
    /// server needs to resume the stream.
    async fn next_or_stall(&mut self) -> Result<NextEvent, Stalled> {
        /// Share of the longest silence that clients tolerate after which a stream counts as
        /// stalled.
        const STALL_SHARE: f64 = 0.8;
        if self.only_waits {
            return Ok(self.source.next().await);
        }
        let limit = self.dispatch.req.max_silence().mul_f64(STALL_SHARE);
        let next = tokio::time::timeout(limit, self.source.next()).await;
        next.map_err(|_| Stalled(format!("no event within {limit:?}")))
    }

    /// Resumes the stream at another server after the last event that was passed on or read ahead.
    async fn resume_elsewhere(&mut self) -> Result<(), exchange::BodyError> {
        let budget = sync::Arc::clone(&self.dispatch.req.cx.memory);
        loop {
            let response = self.dispatch.attempt().await.map_err(unfinished)?;
            let server = response.guards.server.clone();
            let reason = if response.parts.status.is_success() {
                match Stream::start(response, self.dispatch.last_event, &budget).await {
                    Ok(stream) => {
                        self.source = stream.source;
                        self.pending = stream.pending;
                        return Ok(());
                    }
                    Err(reason) => reason,
                }
            } else {
                format!("answered {}", response.parts.status).into()
            };
            self.dispatch
                .broke_off(&server, &reason)
                .await
                .map_err(unfinished)?;
        }
    }

    fn record_end(&self, outcome: &str) {
        let server = &self.source.guards.server;
        self.dispatch
            .record_end(outcome, http::StatusCode::OK.as_u16(), server, &self.timing);
    }
}
