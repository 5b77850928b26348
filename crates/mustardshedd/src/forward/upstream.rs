//! One connection to a backend server, for one request.
//!
//! Each request has a connection of its own. A connection that is kept may die, go silent, or hold
//! the late answer to another request, and a request that may run once only must not meet any of
//! that; opening one costs a round trip and a millisecond of the server.

use std::time;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::{body, client::conn::http1};
use hyper_util::rt;
use mustardshed::core::error;
use tokio::{net, task};

mod allowance;

/// Longest wait for a connection; a server that is there answers within some milliseconds.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Silence on a connection after which the other side is asked for a sign of life; the system
/// counts it in whole seconds.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_secs(1);
/// Wait between such questions, also in whole seconds.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Questions without an answer after which the connection is lost.
const KEEPALIVE_RETRIES: u32 = 1;
/// Time after which sent bytes and questions must be acknowledged.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_400);

/// Bytes up to the head of an answer, interim answers before it included. Heads themselves are limited
/// to fewer; answers that never come to their head end here.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Bytes of a connection beside the body that they carry: what chunks add to a body of pieces of a
/// few bytes.
const FRAMING_FACTOR: usize = 2;

/// A body that is sent whole.
pub type Whole = http_body_util::Full<Bytes>;

/// Why there is no answer.
#[derive(Debug, Display)]
pub enum SendError {
    /// no connection: {0}
    NotConnected(String),
    /// not sent: {0}
    NotSent(String),
    /// no answer: {0}
    NoAnswer(String),
}

/// A connection that ends when this is dropped.
#[derive(Debug)]
pub struct Connection {
    tx: http1::SendRequest<Whole>,
    driver: Driver,
}

/// The task that drives a connection; it ends when this is dropped.
#[derive(Debug)]
pub struct Driver {
    task: task::JoinHandle<()>,
    allowance: allowance::Allowance,
}

impl Driver {
    /// Allows so many bytes of a body to come from now on; the connection fails if there are more.
    pub fn allow(&self, body_bytes: usize) {
        let bytes = body_bytes.saturating_mul(FRAMING_FACTOR);
        self.allowance.set(bytes.saturating_add(MAX_HEAD_BYTES));
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotConnected`] if there is no connection in time.
    pub async fn open(address: &str) -> Result<Self, SendError> {
        let not_connected = |reason: String| SendError::NotConnected(reason);
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, net::TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(not_connected(e.to_string())),
            Err(_) => return Err(not_connected(format!("none within {CONNECT_TIMEOUT:?}"))),
        };
        watch_over(&stream).map_err(|e| not_connected(e.to_string()))?;
        let allowance = allowance::Allowance::new(MAX_HEAD_BYTES);
        let limited = allowance::Limited::new(stream, allowance.clone());
        let handshake = http1::handshake(rt::TokioIo::new(limited)).await;
        let (tx, connection) = handshake.map_err(|e| not_connected(e.to_string()))?;
        let task = task::spawn(async move {
            // The request sees why its connection ended.
            drop(connection.await);
        });
        let driver = Driver { task, allowance };
        Ok(Self { tx, driver })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if nothing of it has left this process, and
    /// [`SendError::NoAnswer`] if it may have run.
    pub async fn send(
        mut self,
        req: http::Request<Whole>,
    ) -> Result<(http::Response<body::Incoming>, Driver), SendError> {
        match self.tx.try_send_request(req).await {
            Ok(answer) => Ok((answer, self.driver)),
            Err(mut e) => Err(match e.take_message() {
                Some(_) => SendError::NotSent(error::with_causes(e.error())),
                None => SendError::NoAnswer(error::with_causes(e.error())),
            }),
        }
    }
}

/// Makes a connection fail whose other side is gone without a word.
fn watch_over(stream: &net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Reads the rest of an answer's body, up to `limit` bytes.
///
/// # Errors
///
/// Returns why it is not whole.
pub async fn read_whole(body: body::Incoming, limit: usize) -> Result<Bytes, String> {
    let limited = http_body_util::Limited::new(body, limit);
    let whole = limited.collect().await.map_err(|e| e.to_string())?;
    Ok(whole.to_bytes())
}
