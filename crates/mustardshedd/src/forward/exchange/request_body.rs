//! Bodies of clients' requests.

use std::time;

use bytes::Bytes;
use hyper::body;

use crate::{
    forward::{clients, cx, exchange, memory, refusal},
    http::body as client_body,
};

/// Reads a body of at most `max_bytes` bytes, each piece of which must arrive within `timeout`.
///
/// # Errors
///
/// Returns the refusal to send to the client.
pub(super) async fn read(
    cx: &cx::Cx,
    incoming: body::Incoming,
    request: &clients::Request,
    max_bytes: usize,
    timeout: time::Duration,
) -> Result<Bytes, refusal::Refusal> {
    let announced = body::Body::size_hint(&incoming).lower();
    let mut parts = http_body_util::BodyDataStream::new(incoming);
    let mut whole = memory::Buffer::new(&cx.memory);
    let reading = client_body::read_whole(&mut parts, &mut whole, announced, max_bytes, timeout);
    match reading.await {
        Ok(()) => Ok(whole.freeze()),
        Err(e) => Err(refuse(e, parts, request)),
    }
}

/// Reads the rest of a refused request's body while the refusal is sent: a connection that is closed
/// with unread bytes is reset, and its client may not see the refusal.
pub(super) fn discard(incoming: body::Incoming, request: &clients::Request) {
    discard_rest(http_body_util::BodyDataStream::new(incoming), request);
}

fn discard_rest(
    mut rest: http_body_util::BodyDataStream<body::Incoming>,
    request: &clients::Request,
) {
    // The connection is not idle before the body has ended.
    let request = request.clone();
    tokio::spawn(async move {
        client_body::discard(&mut rest, exchange::DEFAULT_MAX_BODY_BYTES).await;
        drop(request);
    });
}

fn refuse(
    e: client_body::ReadError,
    rest: http_body_util::BodyDataStream<body::Incoming>,
    request: &clients::Request,
) -> refusal::Refusal {
    match e {
        client_body::ReadError::TooLong => {
            discard_rest(rest, request);
            refusal::Refusal::TooLarge
        }
        client_body::ReadError::NoMemory => {
            discard_rest(rest, request);
            refusal::Refusal::NoMemory
        }
        client_body::ReadError::Truncated | client_body::ReadError::TimedOut => {
            refusal::Refusal::BrokenBody
        }
    }
}

impl client_body::Collect for memory::Buffer {
    fn collected(&self) -> usize {
        self.len()
    }

    fn collect(&mut self, chunk: &[u8]) -> Result<(), client_body::ReadError> {
        let extended = self.extend(chunk);
        extended.map_err(|memory::Exhausted| client_body::ReadError::NoMemory)
    }
}
