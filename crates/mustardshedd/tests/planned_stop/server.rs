//! A backend server with a settable service time, which records the requests that reach it.

use std::{
    collections, convert, net,
    sync::{self, atomic},
    time,
};

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, combinators};
use hyper::{body, server::conn::http1, service};
use hyper_util::rt;

/// Number of events of a stream.
const EVENTS: u32 = 5;

/// Part of its client's time that a stream takes at most.
const STREAM_DIVISOR: u32 = 4;

/// What a server did with one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) began_at: time::Instant,
    /// When the response was handed over or given up; none while the server is at work.
    pub(crate) ended_at: Option<time::Instant>,
    /// Whether the request was rejected without being run.
    pub(crate) is_rejected: bool,
    /// Time that the server was given.
    pub(crate) time_left: time::Duration,
    /// Whether the request named its account, and no key.
    pub(crate) is_of_account: bool,
}

#[derive(Debug)]
struct State {
    service_time_ms: atomic::AtomicU64,
    rejects: atomic::AtomicBool,
    padding_bytes: atomic::AtomicUsize,
    flaw: sync::Mutex<Option<Flaw>>,
    work: sync::Mutex<collections::HashMap<String, Vec<Work>>>,
}

/// What is wrong with the heads of a server's responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Flaw {
    /// They have the identifier of another request.
    OtherRequest,
    /// They lack the server's stamp.
    NoStamp,
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: net::SocketAddr,
    pub(crate) id: String,
    state: sync::Arc<State>,
}

impl Server {
    pub(crate) async fn bind(id: &str, service_time: time::Duration) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = sync::Arc::new(State {
            service_time_ms: atomic::AtomicU64::new(0),
            rejects: atomic::AtomicBool::new(false),
            padding_bytes: atomic::AtomicUsize::new(0),
            flaw: sync::Mutex::default(),
            work: sync::Mutex::default(),
        });
        tokio::spawn(accept(listener, sync::Arc::clone(&state)));
        let server = Self {
            address,
            id: id.to_owned(),
            state,
        };
        server.set_service_time(service_time);
        server
    }

    /// Sets the time from a request's arrival to the end of its response.
    pub(crate) fn set_service_time(&self, time: time::Duration) {
        let ms = u64::try_from(time.as_millis()).unwrap();
        let service_time = &self.state.service_time_ms;
        service_time.store(ms, atomic::Ordering::Relaxed);
    }

    /// Sets whether the server rejects requests without running them.
    pub(crate) fn set_rejecting(&self, rejects: bool) {
        self.state.rejects.store(rejects, atomic::Ordering::Relaxed);
    }

    /// Sets the number of bytes added to each response that is not a stream.
    pub(crate) fn set_padding(&self, bytes: usize) {
        let padding = &self.state.padding_bytes;
        padding.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Sets what is wrong with the heads of the responses.
    pub(crate) fn set_flaw(&self, flaw: Flaw) {
        *self.state.flaw.lock().unwrap() = Some(flaw);
    }

    /// Returns what the server did with requests of this identifier.
    pub(crate) fn work(&self, request_id: &str) -> Vec<Work> {
        let work = self.state.work.lock().unwrap();
        work.get(request_id).cloned().unwrap_or_default()
    }

    /// Returns what the server did with all requests.
    pub(crate) fn all_work(&self) -> Vec<Work> {
        let work = self.state.work.lock().unwrap();
        work.values().flatten().copied().collect()
    }
}

/// Records the end of the work on a request when dropped.
struct WorkGuard {
    state: sync::Arc<State>,
    id: String,
    index: usize,
}

impl WorkGuard {
    fn begin(
        state: &sync::Arc<State>,
        id: &str,
        is_rejected: bool,
        headers: &http::HeaderMap,
    ) -> Self {
        let mut work = state.work.lock().unwrap();
        let work = work.entry(id.to_owned()).or_default();
        work.push(Work {
            began_at: time::Instant::now(),
            ended_at: None,
            is_rejected,
            time_left: time_left(headers),
            is_of_account: headers.contains_key("tenant") && !headers.contains_key("api-key"),
        });
        Self {
            state: sync::Arc::clone(state),
            id: id.to_owned(),
            index: work.len() - 1,
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let mut work = self.state.work.lock().unwrap();
        if let Some(work) = work.get_mut(&self.id) {
            work[self.index].ended_at = Some(time::Instant::now());
        }
    }
}

async fn accept(listener: tokio::net::TcpListener, state: sync::Arc<State>) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let state = sync::Arc::clone(&state);
        tokio::spawn(async move {
            let answering = service::service_fn(move |req| respond(sync::Arc::clone(&state), req));
            let served =
                http1::Builder::new().serve_connection(rt::TokioIo::new(stream), answering);
            drop(served.await);
        });
    }
}

/// Returns the time that the request's client still waits.
fn time_left(headers: &http::HeaderMap) -> time::Duration {
    let left = headers.get("deadline-ms");
    let left = left.and_then(|left| left.to_str().ok());
    let ms = left.and_then(|left| left.parse().ok());
    time::Duration::from_millis(ms.unwrap_or(u64::MAX))
}

type Body = combinators::UnsyncBoxBody<Bytes, convert::Infallible>;

async fn respond(
    state: sync::Arc<State>,
    req: http::Request<body::Incoming>,
) -> Result<http::Response<Body>, hyper::Error> {
    let id = req.headers().get("request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("").to_owned();
    let rejects = state.rejects.load(atomic::Ordering::Relaxed);
    let work = WorkGuard::begin(&state, &id, rejects, req.headers());
    let is_stream = req.uri().path().starts_with("/stream/");
    let max_stream_time = time_left(req.headers()) / STREAM_DIVISOR;
    let first_event = last_event(req.headers()) + 1;
    req.into_body().collect().await?;
    let flaw = *state.flaw.lock().unwrap();
    let answered_id = match flaw {
        Some(Flaw::OtherRequest) => "other",
        _ => &id,
    };
    let mut res = http::Response::builder().header("request-id", answered_id);
    if flaw != Some(Flaw::NoStamp) {
        res = res.header("server-stamp", "signed");
    }
    if rejects {
        let res = res.status(503).header("not-executed", "1");
        return Ok(res.body(text(String::new())).unwrap());
    }
    let ms = state.service_time_ms.load(atomic::Ordering::Relaxed);
    let service_time = time::Duration::from_millis(ms);
    if is_stream {
        let res = res.header("content-type", "text/event-stream");
        return Ok(res
            .body(events(service_time.min(max_stream_time), first_event, work))
            .unwrap());
    }
    tokio::time::sleep(service_time).await;
    let padding = state.padding_bytes.load(atomic::Ordering::Relaxed);
    Ok(res
        .body(text(format!("{id} done{}", ".".repeat(padding))))
        .unwrap())
}

fn text(text: String) -> Body {
    http_body_util::Full::new(Bytes::from(text)).boxed_unsync()
}

/// Returns the last event that the client of a resumed stream has; zero for a new one.
fn last_event(headers: &http::HeaderMap) -> u32 {
    let last = headers.get("last-event-id");
    let last = last.and_then(|last| last.to_str().ok());
    last.and_then(|last| last.parse().ok()).unwrap_or(0)
}

/// Returns events from number `first` on that are spread over the service time; the last one names
/// the request.
fn events(service_time: time::Duration, first: u32, work: WorkGuard) -> Body {
    let gap = service_time / EVENTS;
    let events = stream::unfold((first, work), move |(number, work)| async move {
        if number > EVENTS {
            return None;
        }
        tokio::time::sleep(gap).await;
        let data = if number == EVENTS { &work.id } else { "..." };
        let event = Bytes::from(format!("id: {number}\ndata: {data} done\n\n"));
        Some((Ok(body::Frame::data(event)), (number + 1, work)))
    });
    http_body_util::StreamBody::new(events).boxed_unsync()
}
