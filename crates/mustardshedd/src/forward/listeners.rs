//! Listeners for callers' requests, for discovery of entries by callers, and for the platform's
//! readiness checks and metrics.

use std::{convert, io, net, sync, time};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body, server::conn::http1, service};
use hyper_util::rt;
use mustardshed::platform::discovery;
use tokio::{net as tokio_net, sync as tokio_sync, task};
use tokio_util::task as task_util;

use crate::{
    forward::{clients, cx, exchange, metrics},
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

/// Time for which idle connections are still served after their listener has closed: a request that
/// is on its way is answered, since closing a connection with unread bytes resets it.
const IDLE_CLOSE_DELAY: time::Duration = time::Duration::from_millis(100);

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
    closing: tokio_sync::watch::Sender<bool>,
    connections: task_util::TaskTracker,
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
    let buffers = clients::Buffers::new(&cx.settings.clients, purpose);
    let listener = buffers.listen(address, cx.memory.limit())?;
    log::emit(&event::Event::Listening {
        address: &address.to_string(),
    });
    let clients = clients::Clients::open(sync::Arc::clone(&cx), purpose);
    let (closing, closed) = tokio_sync::watch::channel(false);
    let connections = task_util::TaskTracker::new();
    let server = Server {
        cx,
        clients,
        purpose,
        closed,
        connections: connections.clone(),
    };
    Ok(Listener {
        accepting: task::spawn(accept(listener, server)),
        closing,
        connections,
    })
}

impl Listener {
    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Stops accepting connections and waits until the open ones are closed: idle ones soon, the
    /// others after the response to their current request. A connection that the kernel has accepted
    /// already still gets a response to its first request.
    pub async fn close(&mut self) {
        self.closing.send_replace(true);
        if let Err(e) = (&mut self.accepting).await {
            log_failure(&e);
        }
        self.connections.close();
        self.connections.wait().await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// What serves the connections of a listener.
struct Server {
    cx: sync::Arc<cx::Cx>,
    clients: sync::Arc<clients::Clients>,
    purpose: Purpose,
    closed: tokio_sync::watch::Receiver<bool>,
    connections: task_util::TaskTracker,
}

impl Server {
    /// Serves a connection, unless there are too many.
    fn spawn(&self, stream: tokio_net::TcpStream, address: net::IpAddr) {
        let Some(client) = clients::Clients::accept(&self.clients, address) else {
            return;
        };
        let cx = sync::Arc::clone(&self.cx);
        let serving = serve_connection(cx, stream, client, self.purpose, self.closed.clone());
        self.connections.spawn(serving);
    }
}

/// Accepts connections until the listener closes, and then those that the kernel has accepted.
async fn accept(listener: tokio_net::TcpListener, server: Server) {
    let mut closed = server.closed.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // An error means that the listener was dropped.
            _ = closed.wait_for(|closed| *closed) => break,
        };
        match accepted {
            Ok((stream, address)) => server.spawn(stream, address.ip()),
            Err(e) => {
                log_failure(&e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Asks the kernel, as the runtime may not have noticed the last connections.
    match listener.into_std() {
        Ok(listener) => accept_pending(&listener, &server),
        Err(e) => log_failure(&e),
    }
}

/// Accepts the connections that wait in the queue of a non-blocking socket.
fn accept_pending(listener: &net::TcpListener, server: &Server) {
    loop {
        let accepted = listener.accept().and_then(|(stream, address)| {
            stream.set_nonblocking(true)?;
            Ok((tokio_net::TcpStream::from_std(stream)?, address.ip()))
        });
        match accepted {
            Ok((stream, address)) => server.spawn(stream, address),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
            // The others in the queue are not affected.
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => log_failure(&e),
            Err(e) => return log_failure(&e),
        }
    }
}

fn log_failure(e: &impl ToString) {
    log::emit(&event::Event::AcceptFailed {
        reason: &e.to_string(),
    });
}

async fn serve_connection(
    cx: sync::Arc<cx::Cx>,
    stream: tokio_net::TcpStream,
    client: clients::Connection,
    purpose: Purpose,
    mut closed: tokio_sync::watch::Receiver<bool>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let handle = client.handle().clone();
    let bytes = clients::Buffers::new(&cx.settings.clients, purpose).connection_bytes();
    let Ok(_memory) = handle.take_memory(&cx.memory, bytes).await else {
        return handle.record_no_memory();
    };
    let limits = cx.routes().and_then(|routes| routes.limits);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
        limits.idle_timeout.max(limits.header_timeout)
    });
    let io = bounded_io::BoundedIo::new(stream, WRITE_TIMEOUT);
    let io = clients::Io::new(io, handle.clone());
    let answering = service::service_fn(move |req| {
        let cx = sync::Arc::clone(&cx);
        let request = handle.begin_request();
        async move { Ok::<_, convert::Infallible>(answer(cx, req, request, purpose).await) }
    });
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_HEADER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(rt::TokioIo::new(io), answering);
    let mut connection = std::pin::pin!(connection);
    // If a connection breaks during a request, the request itself notices.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = client.evicted() => return,
        () = wait_until_closed(&mut closed) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection => {}
        () = client.evicted() => {}
    }
}

async fn wait_until_closed(closed: &mut tokio_sync::watch::Receiver<bool>) {
    // An error means that the listener was dropped, which closes it as well.
    drop(closed.wait_for(|closed| *closed).await);
    tokio::time::sleep(IDLE_CLOSE_DELAY).await;
}

async fn answer(
    cx: sync::Arc<cx::Cx>,
    req: http::Request<body::Incoming>,
    request: clients::Request,
    purpose: Purpose,
) -> exchange::Response {
    if purpose != Purpose::Traffic {
        // Bodies are not read here.
        request.record_arrived();
    }
    let response = match purpose {
        Purpose::Traffic => exchange::serve(cx, req, &request).await,
        Purpose::Discovery => answer_discovery(&cx, &req),
        Purpose::Metrics if req.uri().path() == metrics::PATH => match cx.metrics.encode(&cx) {
            Ok(text) => plain(http::StatusCode::OK, Bytes::from(text)),
            Err(_) => plain(http::StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        },
        Purpose::Metrics => plain(http::StatusCode::NOT_FOUND, Bytes::new()),
    };
    response.map(|body| clients::Body::new(body, request).boxed_unsync())
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
