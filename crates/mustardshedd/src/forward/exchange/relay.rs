//! A stream of events on its way to the client, resumed at another server where that is allowed.

use std::{collections, time};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body;
use mustardshed::{
    core::{error, ids},
    platform::headers,
};

use crate::forward::{
    exchange::{self, attempt, driver, events},
    refusal,
};

/// A server's stream of which the first event has come.
#[derive(Debug)]
pub(super) struct Stream {
    status: http::StatusCode,
    headers: http::HeaderMap,
    source: Source,
    /// Events that came and are not passed on.
    ready: collections::VecDeque<events::Event>,
}

/// Where events come from.
#[derive(Debug)]
struct Source {
    body: body::Incoming,
    events: events::Events,
    held: attempt::Held,
    /// Identifier of the last event that was taken.
    last_event: Option<u64>,
}

impl Stream {
    /// Waits for the first event of an answer that goes on after `last_event`.
    ///
    /// # Errors
    ///
    /// Returns why the stream broke off.
    pub(super) async fn first(
        answered: attempt::Answered,
        last_event: Option<u64>,
    ) -> Result<Box<Self>, String> {
        answered.held.driver.allow(events::MAX_EVENT_BYTES);
        let mut source = Source {
            body: answered.body,
            events: events::Events::default(),
            held: answered.held,
            last_event,
        };
        let first = tokio::time::timeout(answered.begins_within, source.next()).await;
        let first = first.map_err(|_| "no event in time".to_owned())??;
        Ok(Box::new(Self {
            status: answered.parts.status,
            headers: headers::toward_client(&answered.parts.headers),
            source,
            ready: first.into_iter().collect(),
        }))
    }
}

impl Source {
    /// Waits for the next event; none after the end of the stream.
    async fn next(&mut self) -> Result<Option<events::Event>, String> {
        loop {
            if let Some(event) = self.events.next() {
                self.check(&event)?;
                self.held.driver.allow(events::MAX_EVENT_BYTES);
                self.held.job.event();
                return Ok(Some(event));
            }
            if self.events.is_overlong() {
                return Err("an event does not end".to_owned());
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.events.push(&data);
                    }
                }
                Some(Err(e)) => return Err(error::with_causes(&e)),
                None if self.events.is_torn() => return Err("an event is torn".to_owned()),
                None => return Ok(None),
            }
        }
    }

    /// Checks that events come in their order.
    fn check(&mut self, event: &events::Event) -> Result<(), String> {
        if event.id.is_some() && event.id <= self.last_event {
            return Err("events are out of order".to_owned());
        }
        self.last_event = event.id.or(self.last_event);
        Ok(())
    }
}

/// Returns the answer that passes a stream on.
pub(super) fn answer(driver: driver::Driver, stream: Stream) -> exchange::Answer {
    let mut answer = http::Response::new(());
    *answer.status_mut() = stream.status;
    *answer.headers_mut() = stream.headers;
    answer.headers_mut().remove(http::header::CONTENT_LENGTH);
    let relay = Relay {
        driver,
        source: stream.source,
        ready: stream.ready,
        pace: Pace::default(),
        waits_on: false,
    };
    let frames = stream::unfold(Some(relay), step);
    answer.map(|()| BodyExt::boxed_unsync(http_body_util::StreamBody::new(frames)))
}

type Frame = Result<body::Frame<Bytes>, exchange::Broken>;

/// The next event of a stream, none at its end, or why it broke off.
type Next = Result<Option<events::Event>, String>;

/// Why a stream counts as stalled.
#[derive(Debug)]
struct Stalled(String);

fn unfinished(_: refusal::Refusal) -> exchange::Broken {
    exchange::Broken::Unfinished
}

struct Relay {
    driver: driver::Driver,
    source: Source,
    ready: collections::VecDeque<events::Event>,
    pace: Pace,
    /// Whether the stream has stalled and can only be waited for.
    waits_on: bool,
}

/// How quickly the events of a stream came.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Events passed on.
    pub(super) events: u64,
    /// Time from the request to the first event.
    pub(super) first: Option<time::Duration>,
    /// Longest time between two events.
    pub(super) longest_gap: time::Duration,
    last_at: ids::Timestamp,
}

impl Pace {
    fn event(&mut self, arrived_at: ids::Timestamp, now: ids::Timestamp) {
        self.events += 1;
        if self.first.is_none() {
            self.first = Some(now.saturating_sub(arrived_at));
        } else {
            self.longest_gap = self.longest_gap.max(now.saturating_sub(self.last_at));
        }
        self.last_at = now;
    }
}

async fn step(relay: Option<Relay>) -> Option<(Frame, Option<Relay>)> {
    let mut relay = relay?;
    match relay.next().await {
        Ok(Some(event)) => {
            let req = &relay.driver.req;
            relay.pace.event(req.arrived_at, req.cx.now());
            relay.driver.last_event = event.id.or(relay.driver.last_event);
            Some((Ok(body::Frame::data(event.bytes)), Some(relay)))
        }
        Ok(None) => {
            relay.ended("answered");
            None
        }
        Err(exchange::Broken::Unfinished) => {
            relay.ended("broken_off");
            Some((Err(exchange::Broken::Unfinished), None))
        }
    }
}

impl Relay {
    /// Waits for the next event, at another server if this one breaks off.
    async fn next(&mut self) -> Result<Option<events::Event>, exchange::Broken> {
        let req = &self.driver.req;
        let left = req.deadline().saturating_sub(req.cx.now());
        match tokio::time::timeout(left, self.next_in_time()).await {
            Ok(next) => next,
            Err(_) => Err(exchange::Broken::Unfinished),
        }
    }

    async fn next_in_time(&mut self) -> Result<Option<events::Event>, exchange::Broken> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Some(event));
            }
            let reason = match self.next_or_stall().await {
                Err(Stalled(reason)) => {
                    let server = self.source.held.server.clone();
                    if self.driver.stalled(&server, &reason) {
                        self.go_on_elsewhere().await?;
                    } else {
                        self.waits_on = true;
                    }
                    continue;
                }
                Ok(Ok(Some(event))) => return Ok(Some(event)),
                Ok(Ok(None)) => {
                    let server = &self.source.held.server;
                    let cx = &self.driver.req.cx;
                    cx.state().ledger.health_mut(server).record_success();
                    return Ok(None);
                }
                Ok(Err(reason)) => reason,
            };
            let server = self.source.held.server.clone();
            self.driver
                .broke_off(&server, &reason)
                .map_err(unfinished)?;
            self.go_on_elsewhere().await?;
        }
    }

    /// Waits for the next event for as long as a client does without leaving, but for the time that
    /// another server needs to go on.
    async fn next_or_stall(&mut self) -> Result<Next, Stalled> {
        /// Part of the time for which clients bear a silence.
        const STALL_SHARE: f64 = 0.8;
        if self.waits_on {
            return Ok(self.source.next().await);
        }
        let limit = self.driver.req.silence().mul_f64(STALL_SHARE);
        let next = tokio::time::timeout(limit, self.source.next()).await;
        next.map_err(|_| Stalled(format!("no event within {limit:?}")))
    }

    /// Goes on at another server after the last event that was passed on.
    async fn go_on_elsewhere(&mut self) -> Result<(), exchange::Broken> {
        loop {
            let answered = self.driver.attempt().await.map_err(unfinished)?;
            let server = answered.held.server.clone();
            let reason = if answered.parts.status.is_success() {
                match Stream::first(answered, self.driver.last_event).await {
                    Ok(stream) => {
                        self.source = stream.source;
                        self.ready = stream.ready;
                        return Ok(());
                    }
                    Err(reason) => reason,
                }
            } else {
                format!("answered {}", answered.parts.status)
            };
            self.driver
                .broke_off(&server, &reason)
                .map_err(unfinished)?;
        }
    }

    fn ended(&self, outcome: &str) {
        let server = &self.source.held.server;
        self.driver
            .ended(outcome, http::StatusCode::OK.as_u16(), server, &self.pace);
    }
}
