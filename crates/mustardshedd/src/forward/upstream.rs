//! A connection to a backend server for a single request.
//!
//! Connections are not reused. A pooled connection may be dead, go silent, or still deliver the
//! late response to an earlier request, none of which may happen to a request that must not run
//! twice. Opening a connection costs a round trip and a millisecond of the server's time.

use std::time;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::{body, client::conn::http1};
use hyper_util::rt;
use mustardshed::core::error;
use tokio::{io, net, task};

mod broken;
mod read_limit;

pub use broken::Broken;

/// Idle time after which TCP keepalive probes are sent; the kernel counts whole seconds.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_secs(1);
/// Interval between keepalive probes, also in whole seconds.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is lost.
const KEEPALIVE_RETRIES: u32 = 1;
/// Time within which sent bytes and keepalive probes must be acknowledged.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_400);

/// Most bytes up to the end of a response's head, with interim responses before it. A single head
/// is limited to less; this ends interim responses that never stop.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Largest ratio of bytes on the connection to bytes of the body: chunked encoding can double a
/// body sent in pieces of a few bytes.
const FRAMING_FACTOR: usize = 2;

/// Bytes to and from a server, by this entry's own connection or through a peer.
pub trait Io: io::AsyncRead + io::AsyncWrite + Send + Unpin {}

impl<T: io::AsyncRead + io::AsyncWrite + Send + Unpin> Io for T {}

/// Request body, sent as a whole.
pub type RequestBody = http_body_util::Full<Bytes>;

/// Why a request got no response.
#[derive(Debug, Display)]
pub enum SendError {
    /// the request was not sent: {0}
    NotSent(String),
    /// no response: {0}
    NoResponse(Broken),
}

/// A connection that is closed when dropped.
#[derive(Debug)]
pub struct Connection {
    tx: http1::SendRequest<RequestBody>,
    connection_task: ConnectionTask,
}

/// The task that drives a connection; dropping it closes the connection.
#[derive(Debug)]
pub struct ConnectionTask {
    task: task::JoinHandle<()>,
    read_limit: read_limit::ReadLimit,
}

impl ConnectionTask {
    /// Allows `body_bytes` more bytes of the body from now on; the connection fails if more arrive.
    pub fn limit_body(&self, body_bytes: usize) {
        let bytes = body_bytes.saturating_mul(FRAMING_FACTOR);
        self.read_limit.set(bytes.saturating_add(MAX_HEAD_BYTES));
    }
}

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection for one request over `io`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends at once.
    pub async fn open(io: Box<dyn Io>) -> Result<Self, hyper::Error> {
        let read_limit = read_limit::ReadLimit::new(MAX_HEAD_BYTES);
        let limited = read_limit::Limited::new(io, read_limit.clone());
        let (tx, connection) = http1::handshake(rt::TokioIo::new(limited)).await?;
        let task = task::spawn(async move {
            // The request itself gets the error if its connection fails.
            drop(connection.await);
        });
        let connection_task = ConnectionTask { task, read_limit };
        Ok(Self {
            tx,
            connection_task,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if no byte of the request has left this process, and
    /// [`SendError::NoResponse`] if it may have run.
    pub async fn send(
        mut self,
        req: http::Request<RequestBody>,
    ) -> Result<(http::Response<body::Incoming>, ConnectionTask), SendError> {
        match self.tx.try_send_request(req).await {
            Ok(response) => Ok((response, self.connection_task)),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => SendError::NotSent(error::with_causes(e.error())),
                None => SendError::NoResponse(Broken::new(e.error())),
            }),
        }
    }
}

/// Sets socket options that make the connection fail if its other side vanishes without closing it.
///
/// # Errors
///
/// Returns an error if an option cannot be set.
pub fn configure_socket(stream: &net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Reads the rest of a response body, up to `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body breaks off or exceeds `limit`.
pub async fn read_whole(body: body::Incoming, limit: usize) -> Result<Bytes, Broken> {
    let limited = http_body_util::Limited::new(body, limit);
    let whole = limited.collect().await.map_err(|e| Broken {
        reason: e.to_string(),
        ..Broken::new(e.as_ref())
    })?;
    Ok(whole.to_bytes())
}
