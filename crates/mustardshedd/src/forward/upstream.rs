//! A connection to a backend server for a single request.
//!
//! Connections are not reused. A pooled connection may be dead, go silent, or still deliver the
//! late response to an earlier request, none of which may happen to a request that must not run
//! twice. Opening a connection costs a round trip and a millisecond of the server's time.

use std::time;

use bytes::Bytes;
use displaydoc::Display;
use hyper::{body::Body, client::conn::http1};
use hyper_util::rt;
use mustardshed::core::{error, forward::response_check};
use tokio::{io, net, task};

use crate::forward::memory;

mod broken;
mod read_limit;
mod request_body;
mod response_body;

pub use broken::Broken;
pub use request_body::RequestBody;
pub use response_body::ResponseBody;

/// Idle time after which TCP keepalive probes are sent; the kernel counts whole seconds.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_secs(1);
/// Interval between keepalive probes, also in whole seconds.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered keepalive probes after which the connection is lost.
const KEEPALIVE_RETRIES: u32 = 1;
/// Time within which sent bytes and keepalive probes must be acknowledged.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_400);

/// Largest buffer for what is read, and thus the largest head of a response, in bytes.
const BUF_BYTES: usize = 32 * 1024;
/// Size of the kernel's buffer for bytes that are not read yet, in bytes.
const RECEIVE_BYTES: usize = 64 * 1024;
/// Most bytes up to the end of a response's head, with interim responses before it. A single head
/// is limited to less; this ends interim responses that never stop.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Largest ratio of bytes on the connection to bytes of the body: chunked encoding can double a
/// body sent in pieces of a few bytes.
const FRAMING_FACTOR: usize = 2;

/// Bytes to and from a server, by this entry's own connection or through a peer.
pub trait Io: io::AsyncRead + io::AsyncWrite + Send + Unpin {}

impl<T: io::AsyncRead + io::AsyncWrite + Send + Unpin> Io for T {}

/// Why a request got no response.
#[derive(Debug, Display)]
pub enum SendError {
    /// the request was not sent: {0}
    NotSent(String),
    /// no response: {0}
    NoResponse(Broken),
    /// invalid response: {0}
    Invalid(response_check::Invalid),
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
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUF_BYTES);
        let (tx, connection) = builder.handshake(rt::TokioIo::new(limited)).await?;
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
    /// Returns [`SendError::NotSent`] if no byte of the request has left this process; after any
    /// other error it may have run.
    pub async fn send(
        mut self,
        req: http::Request<RequestBody>,
    ) -> Result<(http::Response<ResponseBody>, ConnectionTask), SendError> {
        let progress = req.body().progress();
        match self.tx.try_send_request(req).await {
            Ok(response) => {
                let framing = head_of(&response).validate().map_err(SendError::Invalid)?;
                let checked = |body| ResponseBody::new(body, framing, progress);
                Ok((response.map(checked), self.connection_task))
            }
            Err(mut e) => Err(match e.take_message() {
                Some(_) => SendError::NotSent(error::with_causes(e.error())),
                None => SendError::NoResponse(Broken::new(e.error())),
            }),
        }
    }
}

/// Returns what the head of a response says of its form.
fn head_of(response: &http::Response<hyper::body::Incoming>) -> response_check::Head {
    let headers = response.headers();
    response_check::Head {
        status: response.status().as_u16(),
        has_length: headers.contains_key(http::header::CONTENT_LENGTH),
        has_transfer_encoding: headers.contains_key(http::header::TRANSFER_ENCODING),
        has_body: !response.body().is_end_stream(),
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
    socket.set_recv_buffer_size(RECEIVE_BYTES)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Reads the rest of a response body, up to `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body breaks off or exceeds `limit`, or if there is no memory for it.
pub async fn read_whole(
    mut body: ResponseBody,
    limit: usize,
    budget: &memory::Budget,
) -> Result<Bytes, Broken> {
    let mut whole = memory::Buffer::new(budget);
    while let Some(data) = body.next_piece().await? {
        if whole.len() + data.len() > limit {
            return Err(too_large(limit));
        }
        whole.extend(&data).map_err(|e| e.to_string())?;
    }
    Ok(whole.freeze())
}

/// Reads and drops the rest of a response body, up to `limit` bytes.
///
/// # Errors
///
/// Returns an error if the body breaks off or exceeds `limit`.
pub async fn discard(mut body: ResponseBody, limit: usize) -> Result<(), Broken> {
    let mut read = 0;
    while let Some(data) = body.next_piece().await? {
        read += data.len();
        if read > limit {
            return Err(too_large(limit));
        }
    }
    Ok(())
}

/// Returns the error of a response body that exceeds `limit` bytes.
#[must_use]
pub fn too_large(limit: usize) -> Broken {
    format!("the response exceeds {limit} bytes").into()
}
