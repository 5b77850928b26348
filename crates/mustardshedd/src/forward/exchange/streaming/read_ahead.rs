//! A stream's body that reads the server's events ahead while the client does not take them.
//!
//! The body and a task share one reader. While the client waits, the body polls the server's stream
//! itself, so that an event is passed on without another task; otherwise the task polls it.

use std::{
    collections, future, pin,
    sync::{self, Mutex},
    task::{self, Poll},
    time,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body;
use mustardshed::core::{forward::read_ahead, ids};
use tokio::task as tokio_task;

use crate::{
    forward::{cx, exchange, exchange::streaming, memory, metrics},
    log::{self, event},
};

/// What a server's stream yields.
#[derive(Debug)]
pub(super) enum Received {
    /// An event.
    Event(Bytes),
    /// The end of the stream.
    End(Box<dyn End>),
}

/// The end of a stream, which the client gets after all events.
pub(super) trait End: std::fmt::Debug + Send {
    /// Returns whether the stream is complete.
    fn is_complete(&self) -> bool;

    /// Records the end of what was passed on.
    fn record(self: Box<Self>, timing: &streaming::Timing);
}

/// What a server sends to one request, resumed where it breaks off.
pub(super) type Events = pin::Pin<Box<dyn stream::Stream<Item = Received> + Send>>;

/// The request of a stream.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) cx: sync::Arc<cx::Cx>,
    pub(super) id: String,
    pub(super) route: String,
    pub(super) arrived_at: ids::Timestamp,
}

/// Returns the body that passes events on to the client.
pub(super) fn body(req: Request, events: Events) -> exchange::Body {
    let reader = sync::Arc::new(Mutex::new(Reader::new(req, events)));
    let task = tokio_task::spawn(run(sync::Arc::clone(&reader)));
    let handle = Handle { reader, task };
    let frames = stream::poll_fn(move |cx| lock(&handle.reader).poll_take(cx));
    BodyExt::boxed_unsync(http_body_util::StreamBody::new(frames.fuse()))
}

/// The body's share of the reader; dropping it releases everything that is held for the client.
struct Handle {
    reader: sync::Arc<Mutex<Reader>>,
    task: tokio_task::JoinHandle<()>,
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
        lock(&self.reader).release();
    }
}

fn lock(reader: &Mutex<Reader>) -> sync::MutexGuard<'_, Reader> {
    reader.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Reads ahead until the body is dropped.
async fn run(reader: sync::Arc<Mutex<Reader>>) {
    let mut timer = pin::pin!(tokio::time::sleep(time::Duration::ZERO));
    let reading = future::poll_fn(|cx| {
        loop {
            let Some(after) = lock(&reader).poll_ahead(cx) else {
                return Poll::Pending;
            };
            timer.as_mut().reset(tokio::time::Instant::now() + after);
            if timer.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
        }
    });
    reading.await
}

/// Reads one stream.
struct Reader {
    req: Request,
    /// What the server sends; none once it has ended.
    events: Option<Events>,
    /// Events that the client has not taken.
    held: collections::VecDeque<Bytes>,
    /// How the stream ended, until the client gets that.
    end: Option<Box<dyn End>>,
    state: read_ahead::ReadAhead,
    memory: memory::Held,
    timing: streaming::Timing,
    counts: metrics::read_ahead::Counts,
    /// Whether the connection has had the occasion to write all events before an error.
    may_fail: bool,
    /// Wakes the task.
    task: Option<task::Waker>,
}

type Frame = Result<body::Frame<Bytes>, exchange::BodyError>;

impl Reader {
    fn new(req: Request, events: Events) -> Self {
        let cx = &req.cx;
        Self {
            events: Some(events),
            held: collections::VecDeque::new(),
            end: None,
            state: read_ahead::ReadAhead::new(cx.settings.read_ahead_bytes, cx.now()),
            memory: memory::Held::none(&cx.memory),
            timing: streaming::Timing::default(),
            counts: cx.metrics.read_ahead.counts(),
            may_fail: false,
            task: None,
            req,
        }
    }

    /// Polls for what the client gets next: a held event, or what the server sends.
    fn poll_take(&mut self, cx: &mut task::Context<'_>) -> Poll<Option<Frame>> {
        let now = self.req.cx.now();
        let event = if let Some(event) = self.held.pop_front() {
            self.state.record_taken(event.len(), now);
            event
        } else {
            match self.poll_event(cx) {
                Poll::Ready(Some(event)) => {
                    self.state.record_passed_on(now);
                    event
                }
                Poll::Ready(None) => return self.poll_end(cx),
                Poll::Pending => {
                    self.state.record_client_waits();
                    self.settle();
                    return Poll::Pending;
                }
            }
        };
        self.timing.record(self.req.arrived_at, now);
        // The task reads on if the client does not ask for the next event.
        if let Some(task) = &self.task {
            task.wake_by_ref();
        }
        Poll::Ready(Some(Ok(body::Frame::data(event))))
    }

    /// Polls for the end, which is an error unless the stream is complete.
    fn poll_end(&mut self, cx: &task::Context<'_>) -> Poll<Option<Frame>> {
        let is_complete = self.end.as_ref().is_some_and(|end| end.is_complete());
        if !is_complete && !std::mem::replace(&mut self.may_fail, true) {
            // An error drops what the connection has not written, which it does in between.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if let Some(end) = self.end.take() {
            end.record(&self.timing);
        }
        Poll::Ready((!is_complete).then_some(Err(exchange::BodyError::Unfinished)))
    }

    /// Polls the server's stream for an event; none at its end.
    fn poll_event(&mut self, cx: &mut task::Context<'_>) -> Poll<Option<Bytes>> {
        let Some(events) = &mut self.events else {
            return Poll::Ready(None);
        };
        match task::ready!(events.poll_next_unpin(cx)) {
            Some(Received::Event(event)) => return Poll::Ready(Some(event)),
            Some(Received::End(end)) => self.end = Some(end),
            None => {}
        }
        self.events = None;
        self.state.record_end();
        Poll::Ready(None)
    }

    /// Reads ahead as far as that is allowed; returns when to do so again if nothing else wakes the
    /// task.
    fn poll_ahead(&mut self, cx: &mut task::Context<'_>) -> Option<time::Duration> {
        self.task = Some(cx.waker().clone());
        let retry_in = self.read_ahead(cx);
        self.settle();
        let slow_in = self.state.slow_in(self.req.cx.now());
        let is_slow = slow_in.is_some_and(|left| left.is_zero());
        if self.counts.set_slow(is_slow) {
            self.log_slow();
        }
        let slow_in = slow_in.filter(|left| !left.is_zero());
        retry_in.into_iter().chain(slow_in).min()
    }

    /// Reads events ahead until one has not arrived or may not be read; returns when to ask for
    /// memory again if it was refused.
    fn read_ahead(&mut self, cx: &mut task::Context<'_>) -> Option<time::Duration> {
        loop {
            match self.state.decide() {
                read_ahead::Decision::ClientWaits | read_ahead::Decision::Ended => return None,
                read_ahead::Decision::LimitReached => {
                    self.stop("limit");
                    return None;
                }
                read_ahead::Decision::Read { bytes } => {
                    if let Err(memory::Exhausted) = self.memory.resize_spare(bytes) {
                        self.stop("no_memory");
                        return Some(read_ahead::RETRY_INTERVAL);
                    }
                }
            }
            match self.poll_event(cx) {
                Poll::Ready(Some(event)) => self.hold(event),
                Poll::Ready(None) => {}
                Poll::Pending => return None,
            }
        }
    }

    /// Holds an event: a copy, since the event would keep the whole read buffer that it is a part of.
    /// Without memory for a copy, the event itself is held, whose buffer the response's reader counts.
    fn hold(&mut self, event: Bytes) {
        self.state.record_held(event.len());
        let held = match self.memory.resize_spare(self.state.held()) {
            Ok(()) => Bytes::copy_from_slice(&event),
            Err(memory::Exhausted) => event,
        };
        self.held.push_back(held);
        self.counts.set_bytes(self.state.held());
    }

    /// Adjusts the counted memory and the metrics to what is held.
    fn settle(&mut self) {
        let held = self.state.held();
        let is_reading = matches!(self.state.decide(), read_ahead::Decision::Read { .. });
        if !is_reading {
            // If memory is refused, the last event held is counted by the reader of the response.
            let (Ok(()) | Err(memory::Exhausted)) = self.memory.resize_spare(held);
        }
        self.counts.set_bytes(held);
    }

    /// Records that no more is read ahead for now.
    fn stop(&mut self, reason: &'static str) {
        if self.counts.stop(reason) {
            log::emit(&event::Event::ReadAheadStopped {
                request: &self.req.id,
                route: &self.req.route,
                reason,
                held_bytes: self.state.held(),
            });
        }
    }

    fn log_slow(&self) {
        log::emit(&event::Event::ClientSlow {
            request: &self.req.id,
            route: &self.req.route,
            events: self.timing.events,
            held_bytes: self.state.held(),
            server_done: self.events.is_none(),
        });
    }

    /// Closes the server's connection and drops everything that is held for the client.
    fn release(&mut self) {
        self.events = None;
        self.end = None;
        self.held = collections::VecDeque::new();
        self.memory.shrink_to(0);
        self.state.record_end();
        self.counts.clear();
    }
}
