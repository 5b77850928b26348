//! Output of an engine as a stream of tokens.

use std::{
    pin::Pin,
    task::{self, Context, Poll},
    time,
};

use bytes::Bytes;
use futures_util::{FutureExt, Stream};
use http_body_util::BodyExt;
use hyper::{body, body::Body};
use mustardshed::{
    core::boundary::backend_server::{BackendServerError, TokenFrame, TokenStream},
    wire::data_lines,
};

use crate::connection::{
    backend_server::{failure, wire},
    idle_timer,
};

/// Data of the event that ends a full output.
const DONE: &[u8] = b"[DONE]";
/// Longest wait for the end of a body after the last event.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Response body that is being read.
#[derive(Debug)]
struct Reader {
    body: body::Incoming,
    lines: data_lines::DataLines,
    token_timeout: time::Duration,
    timer: idle_timer::IdleTimer,
    /// Whether the timer runs for the wait for the next chunk.
    is_waiting: bool,
}

/// Tokens of a response body; `None` once it has ended or failed.
#[derive(Debug)]
struct Tokens(Option<Reader>);

/// Returns the tokens of a response body.
///
/// Dropping the stream closes the connection, but the request keeps running on the engine: whoever
/// drops the stream early must cancel the request.
pub(super) fn open(body: body::Incoming, token_timeout: time::Duration) -> TokenStream {
    Box::pin(Tokens(Some(Reader {
        body,
        lines: data_lines::DataLines::default(),
        token_timeout,
        timer: idle_timer::IdleTimer::new(token_timeout),
        is_waiting: false,
    })))
}

impl Stream for Tokens {
    type Item = Result<TokenFrame, BackendServerError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(reader) = &mut self.0 else {
            return Poll::Ready(None);
        };
        match task::ready!(reader.poll_frame(cx)) {
            Ok(Some(frame)) => Poll::Ready(Some(Ok(frame))),
            Ok(None) => {
                self.0.take().into_iter().for_each(Reader::drain);
                Poll::Ready(None)
            }
            Err(e) => {
                self.0 = None;
                Poll::Ready(Some(Err(e)))
            }
        }
    }
}

impl Reader {
    /// Polls for the next token; yields `None` after the last event.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<TokenFrame>, BackendServerError>> {
        loop {
            if let Some(data) = self.lines.take().map_err(failure::broken)? {
                return Poll::Ready(parse(&data));
            }
            let chunk = task::ready!(self.poll_chunk(cx))?;
            self.lines.push(&chunk);
        }
    }

    /// Polls for the next chunk of the body; fails if it doesn't arrive within the token timeout.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes, BackendServerError>> {
        let Poll::Ready(received) = Pin::new(&mut self.body).poll_frame(cx) else {
            return self.poll_timeout(cx).map(Err);
        };
        self.is_waiting = false;
        Poll::Ready(match received {
            None => Err(failure::broken("the stream ended before its last event")),
            Some(Err(e)) => Err(failure::broken(e)),
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
        })
    }

    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<BackendServerError> {
        if !self.is_waiting {
            self.is_waiting = true;
            self.timer.restart(self.token_timeout);
        }
        let elapsed = self.timer.poll_elapsed(cx);
        elapsed.map(|()| failure::timed_out(self.token_timeout))
    }

    /// Reads the end of the body, so that the connection can be reused.
    fn drain(mut self) {
        if self.body.frame().now_or_never().is_some() {
            return;
        }
        tokio::spawn(async move {
            let end = tokio::time::timeout(DRAIN_TIMEOUT, self.body.frame()).await;
            drop(end);
        });
    }
}

/// Parses the data of an event; returns `None` for the last one.
fn parse(data: &[u8]) -> Result<Option<TokenFrame>, BackendServerError> {
    if data == DONE {
        return Ok(None);
    }
    let frame: wire::FrameBody<'_> = serde_json::from_slice(data).map_err(failure::broken)?;
    Ok(Some(TokenFrame::from(frame)))
}
