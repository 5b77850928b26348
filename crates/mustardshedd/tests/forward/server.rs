//! A backend server with scripted responses.

use std::{collections, convert, io, net, sync, time};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::{BodyExt, combinators};
use hyper::{body, server::conn::http1, service};
use hyper_util::rt;

/// A request as received by the server.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received_at: time::Instant,
}

impl ReceivedRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Time for which a crashed server is down.
const DOWN_TIME: time::Duration = time::Duration::from_millis(150);
/// Time that a server takes to begin its answer to a request that crashes it.
const TIME_TO_CRASH: time::Duration = time::Duration::from_millis(30);

/// Bytes of data in a large event.
pub(crate) const LARGE_EVENT_BYTES: usize = 40_000;

/// How the server responds to one request.
#[derive(Clone, Debug)]
pub(crate) enum Response {
    /// A signed response with this status and body.
    Whole(u16, &'static str),
    /// A rejection: the request has not run.
    NotRun,
    /// The same, with this many seconds of back-off.
    BackOff(&'static str),
    /// A successful response that announces the server's shutdown.
    Leaving,
    /// A successful response with this rate limit.
    Limited(&'static str),
    /// A complete response with the identifier of another request.
    WrongRequestId,
    /// Events with these identifiers; the connection breaks after them unless `ends`.
    Events { ids: Vec<u64>, ends: bool },
    /// An event and the beginning of another one, after which the connection breaks.
    Truncated { id: u64 },
    /// Large events after the one that the request names, up to `last`; the connection breaks after
    /// them unless `ends`.
    LargeEvents { last: u64, ends: bool },
    /// No response; the connection is closed.
    Closed,
    /// No response; the connection stays open.
    Silent,
    /// Another response after this many milliseconds.
    Late(u64, Box<Response>),
}

type Body = combinators::UnsyncBoxBody<Bytes, io::Error>;

#[derive(Debug, Default)]
struct State {
    script: sync::Mutex<collections::VecDeque<Response>>,
    got: sync::Mutex<Vec<ReceivedRequest>>,
    abandoned: sync::atomic::AtomicUsize,
    open_connections: sync::atomic::AtomicUsize,
    /// Prompt parts, and parts of paths, that crash the server.
    deadly_parts: sync::Mutex<Vec<&'static str>>,
    crashed: tokio::sync::Notify,
    closed: tokio::sync::Notify,
}

impl State {
    fn is_deadly(&self, path: &str, headers: &http::HeaderMap) -> bool {
        let parts = headers.get("prompt-prefix");
        let parts = parts.and_then(|parts| parts.to_str().ok()).unwrap_or("");
        let deadly = self.deadly_parts.lock().unwrap();
        let mut deadly = deadly.iter();
        deadly.any(|deadly| parts.contains(deadly) || path.contains(deadly))
    }
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: net::SocketAddr,
    pub(crate) id: String,
    state: sync::Arc<State>,
}

impl Server {
    pub(crate) async fn bind(id: &str) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = sync::Arc::new(State::default());
        tokio::spawn(accept(listener, sync::Arc::clone(&state)));
        Self {
            address,
            id: id.to_owned(),
            state,
        }
    }

    /// Adds a response to the script. When the script is empty, the server responds with 200 and
    /// `done`, to requests on `/long/` and `/stream/` with one event.
    pub(crate) fn respond_with(&self, answer: Response) {
        self.state.script.lock().unwrap().push_back(answer);
    }

    /// Makes requests with this prompt part, or with this in their paths, crash the server: all its
    /// connections end, and it refuses new ones for a while.
    pub(crate) fn crash_on(&self, part: &'static str) {
        self.state.deadly_parts.lock().unwrap().push(part);
    }

    /// Makes the server refuse new connections; open ones live on.
    pub(crate) fn refuse_new_connections(&self) {
        self.state.closed.notify_one();
    }

    /// Makes no request crash the server any more.
    pub(crate) fn stop_crashing(&self) {
        self.state.deadly_parts.lock().unwrap().clear();
    }

    pub(crate) fn got(&self) -> Vec<ReceivedRequest> {
        self.state.got.lock().unwrap().clone()
    }

    /// Returns the number of requests whose connections were closed before they were answered.
    pub(crate) fn abandoned(&self) -> usize {
        self.state.abandoned.load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns the number of connections that neither side has closed, if none has crashed.
    pub(crate) fn open_connections(&self) -> usize {
        let open = &self.state.open_connections;
        open.load(sync::atomic::Ordering::Relaxed)
    }
}

async fn accept(mut listener: tokio::net::TcpListener, state: sync::Arc<State>) {
    let address = listener.local_addr().unwrap();
    loop {
        serve_until_crash(listener, &state).await;
        tokio::time::sleep(DOWN_TIME).await;
        listener = tokio::net::TcpListener::bind(address).await.unwrap();
    }
}

/// Serves connections until the server crashes, which closes all of them.
async fn serve_until_crash(listener: tokio::net::TcpListener, state: &sync::Arc<State>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted.unwrap().0,
            () = state.crashed.notified() => return,
            () = state.closed.notified() => {
                drop(listener);
                return std::future::pending().await;
            }
        };
        let state = sync::Arc::clone(state);
        let accepted_by = sync::Arc::clone(&state);
        let open = &state.open_connections;
        open.fetch_add(1, sync::atomic::Ordering::Relaxed);
        connections.spawn(async move {
            let answering = service::service_fn(move |req| respond(sync::Arc::clone(&state), req));
            let served =
                http1::Builder::new().serve_connection(rt::TokioIo::new(stream), answering);
            drop(served.await);
            let open = &accepted_by.open_connections;
            open.fetch_sub(1, sync::atomic::Ordering::Relaxed);
        });
    }
}

/// Counts a request as abandoned if its connection closes before the response.
struct Unanswered(sync::Arc<State>, bool);

impl Drop for Unanswered {
    fn drop(&mut self) {
        if !self.1 {
            self.0
                .abandoned
                .fetch_add(1, sync::atomic::Ordering::Relaxed);
        }
    }
}

async fn respond(
    state: sync::Arc<State>,
    req: http::Request<body::Incoming>,
) -> Result<http::Response<Body>, io::Error> {
    let (parts, body) = req.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let id = parts.headers.get("request-id").cloned();
    let is_stream = ["/long/", "/stream/"]
        .iter()
        .any(|prefix| parts.uri.path().starts_with(prefix));
    let last_event = parts.headers.get("last-event-id");
    let last_event = last_event.and_then(|id| id.to_str().ok()?.parse().ok());
    let is_order = parts.uri.path() == "/api/order";
    let is_deadly = state.is_deadly(parts.uri.path(), &parts.headers);
    state.got.lock().unwrap().push(ReceivedRequest {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        headers: parts.headers,
        body,
        received_at: time::Instant::now(),
    });
    if is_deadly {
        tokio::time::sleep(TIME_TO_CRASH).await;
        state.crashed.notify_one();
        std::future::pending::<()>().await;
    }
    // The script does not apply to orders.
    let mut scripted = if is_order {
        None
    } else {
        state.script.lock().unwrap().pop_front()
    };
    let default = if is_stream {
        Response::Events {
            ids: vec![1],
            ends: true,
        }
    } else {
        Response::Whole(200, "done")
    };
    let mut unanswered = Unanswered(sync::Arc::clone(&state), false);
    if let Some(Response::Late(ms, response)) = scripted {
        tokio::time::sleep(time::Duration::from_millis(ms)).await;
        scripted = Some(*response);
    }
    let mut res = match scripted.unwrap_or(default) {
        Response::Whole(status, text) => whole(status, text),
        Response::NotRun => not_run(),
        Response::BackOff(seconds) => with(not_run(), "retry-after", seconds),
        Response::Limited(per_s) => with(whole(200, "done"), "server-limit", per_s),
        Response::Leaving => with(whole(200, "done"), "server-leaving", "1"),
        Response::WrongRequestId => {
            let mut res = whole(200, "another's");
            res.headers_mut()
                .insert("request-id", "another".parse().unwrap());
            unanswered.1 = true;
            return Ok(res);
        }
        Response::Events { ids, ends } => events(&ids, "", None, ends),
        Response::Truncated { id } => events(&[id], "", Some("id: 99\ndata: ha"), false),
        Response::LargeEvents { last, ends } => {
            let ids: Vec<u64> = (last_event.unwrap_or(0) + 1..=last).collect();
            events(&ids, &"x".repeat(LARGE_EVENT_BYTES), None, ends)
        }
        Response::Closed => return Err(io::Error::from(io::ErrorKind::ConnectionReset)),
        Response::Silent => {
            tokio::time::sleep(time::Duration::from_secs(60)).await;
            whole(200, "late")
        }
        Response::Late(..) => panic!("a late response that is late again"),
    };
    unanswered.1 = true;
    if let Some(id) = id {
        res.headers_mut().insert("request-id", id);
    }
    Ok(res)
}

fn whole(status: u16, text: &'static str) -> http::Response<Body> {
    let body = http_body_util::Full::new(Bytes::from_static(text.as_bytes()));
    let body = body.map_err(|never: convert::Infallible| match never {});
    http::Response::builder()
        .status(status)
        .header("server-stamp", "signed")
        .body(body.boxed_unsync())
        .unwrap()
}

fn with(
    mut res: http::Response<Body>,
    name: &'static str,
    value: &'static str,
) -> http::Response<Body> {
    res.headers_mut().insert(name, value.parse().unwrap());
    res
}

fn not_run() -> http::Response<Body> {
    let mut res = whole(503, "");
    res.headers_mut()
        .insert("not-executed", "1".parse().unwrap());
    res
}

fn events(ids: &[u64], data: &str, torn: Option<&'static str>, ends: bool) -> http::Response<Body> {
    let mut frames: Vec<io::Result<Bytes>> = ids
        .iter()
        .map(|id| Ok(Bytes::from(format!("id: {id}\ndata: e{id}{data}\n\n"))))
        .collect();
    frames.extend(torn.map(|torn| Ok(Bytes::from_static(torn.as_bytes()))));
    if !ends {
        frames.push(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
    }
    let frames = stream::iter(frames).then(|frame| async {
        // Lets earlier frames be sent before a break.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        frame.map(body::Frame::data)
    });
    http::Response::builder()
        .header("server-stamp", "signed")
        .header("content-type", "text/event-stream")
        .body(http_body_util::StreamBody::new(frames).boxed_unsync())
        .unwrap()
}
