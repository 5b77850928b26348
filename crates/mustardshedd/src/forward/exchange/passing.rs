//! A response that is passed on while it arrives, because there is no memory to hold all of it.

use std::collections;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body;
use mustardshed::platform::headers;

use crate::forward::{
    exchange::{self, attempt, dispatch, streaming},
    memory, upstream,
};

/// Size below which a piece is copied, in bytes: it keeps the read buffer that it is a part of.
const MIN_PIECE_BYTES: usize = 4 * 1024;

/// A response as far as there was memory for it.
#[derive(Debug)]
pub(super) struct Buffered {
    pub(super) parts: http::response::Parts,
    pub(super) guards: attempt::Guards,
    pub(super) bytes: Bytes,
    /// What is to follow, unless the response is whole.
    pub(super) rest: Option<Rest>,
}

/// The rest of a response for which there is no memory.
#[derive(Debug)]
pub(super) struct Rest {
    /// Piece that was received last.
    piece: Bytes,
    body: upstream::ResponseBody,
    /// Bytes that may still arrive.
    left: usize,
}

/// Reads a response of at most `limit` bytes as far as there is memory for it.
///
/// # Errors
///
/// Returns an error if the body breaks off or exceeds `limit`.
pub(super) async fn read(
    response: attempt::Response,
    limit: usize,
    budget: &memory::Budget,
) -> Result<Buffered, upstream::Broken> {
    let attempt::Response {
        parts,
        mut body,
        guards,
        ..
    } = response;
    guards.connection_task.limit_body(limit);
    let mut buf = memory::Buffer::new(budget);
    while let Some(data) = body.next_piece().await? {
        let left = limit.checked_sub(buf.len() + data.len());
        let left = left.ok_or_else(|| upstream::too_large(limit))?;
        if let Err(memory::Exhausted) = buf.extend(&data) {
            let rest = Rest {
                piece: data,
                body,
                left,
            };
            return Ok(Buffered {
                parts,
                guards,
                bytes: buf.freeze(),
                rest: Some(rest),
            });
        }
    }
    Ok(Buffered {
        parts,
        guards,
        bytes: buf.freeze(),
        rest: None,
    })
}

/// Returns the response that passes the beginning and the rest on to the client.
pub(super) fn response(
    dispatch: dispatch::Dispatch,
    buffered: Buffered,
    rest: Rest,
) -> exchange::Response {
    let mut response = http::Response::new(());
    *response.status_mut() = buffered.parts.status;
    *response.headers_mut() = headers::for_client(&buffered.parts.headers);
    let forwarder = Forwarder {
        dispatch,
        status: buffered.parts.status,
        guards: buffered.guards,
        pending: [buffered.bytes, rest.piece].into(),
        body: rest.body,
        left: rest.left,
    };
    let frames = stream::unfold(Some(forwarder), step);
    response.map(|()| BodyExt::boxed_unsync(http_body_util::StreamBody::new(frames)))
}

type Frame = Result<body::Frame<Bytes>, exchange::BodyError>;

struct Forwarder {
    dispatch: dispatch::Dispatch,
    status: http::StatusCode,
    guards: attempt::Guards,
    /// Pieces received and not yet passed on.
    pending: collections::VecDeque<Bytes>,
    body: upstream::ResponseBody,
    /// Bytes that may still arrive.
    left: usize,
}

async fn step(forwarder: Option<Forwarder>) -> Option<(Frame, Option<Forwarder>)> {
    let mut forwarder = forwarder?;
    match forwarder.next().await {
        Ok(Some(data)) => Some((Ok(body::Frame::data(data)), Some(forwarder))),
        Ok(None) => {
            forwarder.record_end("answered");
            None
        }
        Err(broken) => {
            forwarder.record_broken(&broken);
            Some((Err(exchange::BodyError::Unfinished), None))
        }
    }
}

impl Forwarder {
    /// Waits for the next piece until the request's deadline.
    async fn next(&mut self) -> Result<Option<Bytes>, upstream::Broken> {
        if let Some(data) = self.pending.pop_front() {
            return Ok(Some(data));
        }
        let req = &self.dispatch.req;
        let left = req.deadline().saturating_sub(req.cx.now());
        let next = tokio::time::timeout(left, self.body.next_piece()).await;
        let Some(data) = next.map_err(|_| "no end in time".to_owned())?? else {
            return Ok(None);
        };
        let left = self.left.checked_sub(data.len());
        self.left = left.ok_or_else(|| "the response is too large".to_owned())?;
        if data.len() < MIN_PIECE_BYTES {
            return Ok(Some(Bytes::copy_from_slice(&data)));
        }
        Ok(Some(data))
    }

    fn record_broken(&self, broken: &upstream::Broken) {
        let server = &self.guards.server;
        attempt::record_failure(&self.dispatch.req, server);
        self.dispatch.record_invalid(server, broken);
        self.dispatch
            .log_failed(server, "unknown", &broken.reason, false);
        self.record_end("broken_off");
    }

    fn record_end(&self, outcome: &str) {
        let server = &self.guards.server;
        if outcome == "answered" {
            self.dispatch.record_health(self.status, server);
        }
        let timing = streaming::Timing::default();
        self.dispatch
            .record_end(outcome, self.status.as_u16(), server, &timing);
    }
}
