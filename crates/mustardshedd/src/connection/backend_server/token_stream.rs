//! Output of an engine as a stream of tokens.

use std::time;

use bytes::Bytes;
use futures_util::{FutureExt, stream};
use http_body_util::BodyExt;
use hyper::body;
use mustardshed::{
    core::border::backend_server::{BackendServerError, TokenFrame, TokenStream},
    wire::data_lines,
};

use crate::connection::backend_server::{failure, wire};

/// Value of the last event of a whole output.
const DONE: &[u8] = b"[DONE]";
/// Longest time for the end of a body after the last event.
const DRAIN: time::Duration = time::Duration::from_secs(1);

/// Body of an answer that is being read.
#[derive(Debug)]
struct Reader {
    body: body::Incoming,
    lines: data_lines::DataLines,
    token_timeout: time::Duration,
}

/// Returns the tokens of an answer's body.
///
/// Dropping the stream closes the connection and leaves the request running on the engine;
/// whoever drops it early must cancel the request.
pub(super) fn open(body: body::Incoming, token_timeout: time::Duration) -> TokenStream {
    let reader = Reader {
        body,
        lines: data_lines::DataLines::default(),
        token_timeout,
    };
    Box::pin(stream::unfold(Some(reader), |state| async move {
        let mut reader = state?;
        match reader.next_frame().await {
            Ok(Some(frame)) => Some((Ok(frame), Some(reader))),
            Ok(None) => {
                reader.drain();
                None
            }
            Err(e) => Some((Err(e), None)),
        }
    }))
}

impl Reader {
    /// Returns the next token, or nothing after the last event.
    async fn next_frame(&mut self) -> Result<Option<TokenFrame>, BackendServerError> {
        loop {
            if let Some(data) = self.lines.take().map_err(failure::broken)? {
                return parse(&data);
            }
            let chunk = self.next_chunk().await?;
            self.lines.push(&chunk);
        }
    }

    async fn next_chunk(&mut self) -> Result<Bytes, BackendServerError> {
        let received = tokio::time::timeout(self.token_timeout, self.body.frame()).await;
        match received {
            Err(_) => Err(failure::timed_out(self.token_timeout)),
            Ok(None) => Err(failure::broken("the stream ended before its last event")),
            Ok(Some(Err(e))) => Err(failure::broken(e)),
            Ok(Some(Ok(frame))) => Ok(frame.into_data().unwrap_or_default()),
        }
    }

    /// Reads the end of the body, so that the connection can be used again.
    fn drain(mut self) {
        if self.body.frame().now_or_never().is_some() {
            return;
        }
        tokio::spawn(async move {
            let end = tokio::time::timeout(DRAIN, self.body.frame()).await;
            drop(end);
        });
    }
}

fn parse(data: &[u8]) -> Result<Option<TokenFrame>, BackendServerError> {
    if data == DONE {
        return Ok(None);
    }
    let frame: wire::FrameBody<'_> = serde_json::from_slice(data).map_err(failure::broken)?;
    Ok(Some(TokenFrame::from(frame)))
}
