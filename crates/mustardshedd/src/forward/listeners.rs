//! Listeners for callers' requests, for discovery of entries by callers, and for the platform's
//! readiness checks and metrics.

use std::{
    convert, io, net,
    sync::{self, atomic},
    time,
};

use bytes::Bytes;
use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use mustardshed::platform::discovery;
use tokio::{net as tokio_net, task};

use crate::{
    forward::{cx, exchange, metrics},
    http::bounded_io,
    log::{self, event},
};

/// Time for which callers may cache a list of entries, in seconds.
const DISCOVERY_TTL_S: u64 = 1;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest time that a connection may stay idle if the configuration sets none.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Buffer size for the head of a request if the configuration sets none, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;
/// Smallest buffer for a head that hyper accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8 * 1024;
/// Most headers of one request.
const MAX_HEADERS: usize = 100;
/// Time for which a client may leave written bytes unread.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// What a listener serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Requests of callers.
    Traffic,
    /// The list of entries for callers, and the readiness of this one.
    Discovery,
    /// The metrics.
    Metrics,
}

/// A running listener, which stops accepting when dropped.
#[derive(Debug)]
pub struct Listener {
    accepting: task::JoinHandle<()>,
    open: sync::Arc<atomic::AtomicUsize>,
}

/// Binds an address and starts to serve connections there.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(
    cx: sync::Arc<cx::Cx>,
    address: net::SocketAddr,
    purpose: Purpose,
) -> io::Result<Listener> {
    let listener = tokio_net::TcpListener::bind(address).await?;
    log::emit(&event::Event::Listening {
        address: &address.to_string(),
    });
    let open = sync::Arc::new(atomic::AtomicUsize::new(0));
    let accepting = task::spawn(accept(cx, listener, purpose, sync::Arc::clone(&open)));
    Ok(Listener { accepting, open })
}

impl Listener {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.load(atomic::Ordering::Relaxed)
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(
    cx: sync::Arc<cx::Cx>,
    listener: tokio_net::TcpListener,
    purpose: Purpose,
    open: sync::Arc<atomic::AtomicUsize>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let guard = ConnectionGuard::new(&open);
                task::spawn(serve_connection(
                    sync::Arc::clone(&cx),
                    stream,
                    purpose,
                    guard,
                ));
            }
            Err(e) => {
                log::emit(&event::Event::AcceptFailed {
                    reason: &e.to_string(),
                });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(sync::Arc<atomic::AtomicUsize>);

impl ConnectionGuard {
    fn new(open: &sync::Arc<atomic::AtomicUsize>) -> Self {
        open.fetch_add(1, atomic::Ordering::Relaxed);
        Self(sync::Arc::clone(open))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn serve_connection(
    cx: sync::Arc<cx::Cx>,
    stream: tokio_net::TcpStream,
    purpose: Purpose,
    _guard: ConnectionGuard,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = cx.routes().and_then(|routes| routes.limits);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.max(limits.header_timeout)
    });
    let io = bounded_io::BoundedIo::new(stream, WRITE_TIMEOUT);
    let answering = service::service_fn(move |req| {
        let cx = sync::Arc::clone(&cx);
        async move { Ok::<_, convert::Infallible>(answer(cx, req, purpose).await) }
    });
    let served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_HEADER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(rt::TokioIo::new(io), answering);
    // If a connection breaks during a request, the request itself notices.
    drop(served.await);
}

async fn answer(
    cx: sync::Arc<cx::Cx>,
    req: http::Request<body::Incoming>,
    purpose: Purpose,
) -> exchange::Response {
    match purpose {
        Purpose::Traffic => exchange::serve(cx, req).await,
        Purpose::Discovery => answer_discovery(&cx, &req),
        Purpose::Metrics if req.uri().path() == metrics::PATH => match cx.metrics.encode(&cx) {
            Ok(text) => plain(http::StatusCode::OK, Bytes::from(text)),
            Err(_) => plain(http::StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        Purpose::Metrics => plain(http::StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn answer_discovery(cx: &cx::Cx, req: &http::Request<body::Incoming>) -> exchange::Response {
    match req.uri().path() {
        discovery::READY_PATH if cx.takes_work() => plain(http::StatusCode::OK, Bytes::new()),
        discovery::READY_PATH => plain(http::StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        discovery::RESOLVE_PATH => match discovery::response(&cx.fronts(), DISCOVERY_TTL_S) {
            Ok(body) => {
                let mut response = plain(http::StatusCode::OK, Bytes::from(body));
                let json = http::HeaderValue::from_static("application/json");
                response
                    .headers_mut()
                    .insert(http::header::CONTENT_TYPE, json);
                response
            }
            Err(_) => plain(http::StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        _ => plain(http::StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn plain(status: http::StatusCode, body: Bytes) -> exchange::Response {
    let mut response = http::Response::new(exchange::full_body(body));
    *response.status_mut() = status;
    response
}
