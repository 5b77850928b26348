//! A streamed output as server-sent events.

use std::{
    convert,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::Stream;
use mustardshed::core::{error, ids};
use tokio::sync::mpsc;

use crate::{
    http::{output_format, reply},
    request::output,
};

/// Maximum number of outputs that are written into one chunk of the body.
const BATCH: usize = 32;
/// Buffer capacity for one output, in bytes.
const OUTPUT_BYTES: usize = 256;

/// A streamed output; dropping it tells the driver that the caller is gone.
#[derive(Debug)]
pub struct SseBody {
    format: output_format::OutputFormat,
    rx: mpsc::Receiver<output::Output>,
    batch: Vec<output::Output>,
    includes_usage: bool,
    tokens: ids::Tokens,
    has_ended: bool,
}

impl SseBody {
    /// Creates the body of a stream whose first output was already received.
    pub fn new(
        format: output_format::OutputFormat,
        first: output::Output,
        rx: mpsc::Receiver<output::Output>,
        includes_usage: bool,
    ) -> Self {
        let mut batch = Vec::with_capacity(BATCH);
        batch.push(first);
        Self {
            format,
            rx,
            batch,
            includes_usage,
            tokens: 0,
            has_ended: false,
        }
    }

    fn write_batch(&mut self) -> Bytes {
        let mut buf = Vec::with_capacity(self.batch.len() * OUTPUT_BYTES);
        let mut batch = std::mem::take(&mut self.batch);
        for output in batch.drain(..) {
            self.write(&mut buf, &output);
        }
        self.batch = batch;
        buf.into()
    }

    fn write(&mut self, buf: &mut Vec<u8>, output: &output::Output) {
        match output {
            output::Output::Chunk(chunk) => {
                self.format.write_chunk(buf, chunk, self.tokens == 0);
                self.tokens += 1;
                if chunk.finish.is_some() {
                    self.write_end(buf);
                }
            }
            output::Output::Failed(err) => self.write_error(buf, err),
            output::Output::Duplicate(_) => {}
        }
    }

    fn write_end(&mut self, buf: &mut Vec<u8>) {
        if self.includes_usage {
            self.format.write_usage(buf, self.tokens);
        }
        buf.extend_from_slice(b"data: [DONE]\n\n");
        self.has_ended = true;
    }

    fn write_error(&mut self, buf: &mut Vec<u8>, err: &error::Error) {
        buf.extend_from_slice(b"data: ");
        // Serializing texts and numbers to memory cannot fail.
        drop(serde_json::to_writer(
            &mut *buf,
            &reply::error_response(err),
        ));
        buf.extend_from_slice(b"\n\n");
        self.has_ended = true;
    }

    fn write_lost(&mut self) -> Bytes {
        let err = error::Error::unknown(
            error::ErrorKind::Internal,
            "the request's driver ended without a response",
        );
        let mut buf = Vec::new();
        self.write_error(&mut buf, &err);
        buf.into()
    }
}

impl Stream for SseBody {
    type Item = Result<Bytes, convert::Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        if this.has_ended {
            return Poll::Ready(None);
        }
        if this.batch.is_empty() {
            let polled = this.rx.poll_recv_many(cx, &mut this.batch, BATCH);
            match polled {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(0) => return Poll::Ready(Some(Ok(this.write_lost()))),
                Poll::Ready(_) => {}
            }
        }
        Poll::Ready(Some(Ok(this.write_batch())))
    }
}
