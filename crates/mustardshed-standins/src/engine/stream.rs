//! Output of a request as server-sent events.

use std::{io, sync, sync::atomic};

use bytes::{BufMut, Bytes, BytesMut};
use futures_util::stream;
use serde::Serialize;
use tokio::task;

use crate::{
    engine::{job, progress, shared},
    oracle,
};

/// Largest number of tokens written at once.
const MAX_BATCH: u64 = 64;
/// Last event of a complete output.
const DONE: &[u8] = b"data: [DONE]\n\n";
/// With the fault `cross_frames`, every fifth frame is followed by one of another request.
const CROSS_EVERY: u64 = 5;

#[derive(Serialize)]
struct Frame<'a> {
    id: &'a str,
    offset: u64,
    text: &'a str,
    finish_reason: Option<&'a str>,
    epoch: u64,
}

struct OutputStream {
    shared: sync::Arc<shared::Shared>,
    handle: job::Handle,
    next: u64,
    written: u64,
    closed: bool,
}

/// Returns the events of a request from token `offset` on.
pub(super) fn events(
    shared: sync::Arc<shared::Shared>,
    handle: job::Handle,
    offset: u64,
) -> impl stream::Stream<Item = io::Result<Bytes>> + Send {
    let state = OutputStream {
        shared,
        handle,
        next: offset,
        written: 0,
        closed: false,
    };
    stream::unfold(state, |mut state| async move {
        let item = state.next_chunk().await?;
        Some((item, state))
    })
}

impl OutputStream {
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        if self.closed {
            return None;
        }
        loop {
            let progress = *self.handle.progress.borrow_and_update();
            if self.next < progress.produced {
                return Some(self.write_tokens(progress).await);
            }
            match progress.end {
                Some(progress::End::Finished) => return Some(Ok(self.close())),
                Some(_) => return Some(self.break_off().await),
                None => {}
            }
            if self.handle.progress.changed().await.is_err() {
                return Some(self.break_off().await);
            }
        }
    }

    async fn write_tokens(&mut self, progress: progress::Progress) -> io::Result<Bytes> {
        let (epoch, faults) = self.shared.read(|e| (e.epoch(), e.faults().clone()));
        let limit = faults.break_streams_after_tokens.unwrap_or(u64::MAX);
        if self.written >= limit {
            return self.break_off().await;
        }
        let batch = (progress.produced - self.next)
            .min(MAX_BATCH)
            .min(limit - self.written);
        let mut buf = BytesMut::new();
        for _ in 0..batch {
            self.write_token(&mut buf, epoch)?;
            if faults.cross_frames && self.written.is_multiple_of(CROSS_EVERY) {
                self.write_crossed(&mut buf, epoch)?;
            }
        }
        self.handle
            .sent
            .fetch_max(self.next, atomic::Ordering::Relaxed);
        let finished = progress.end == Some(progress::End::Finished);
        if finished && self.next >= progress.produced {
            buf.put(self.close());
        }
        Ok(buf.freeze())
    }

    fn write_token(&mut self, buf: &mut BytesMut, epoch: u64) -> io::Result<()> {
        let last = self.next + 1 == self.handle.max_tokens;
        let frame = Frame {
            id: &self.handle.id,
            offset: self.next,
            text: &self.handle.oracle.word(self.next),
            finish_reason: last.then_some("length"),
            epoch,
        };
        write_frame(buf, &frame)?;
        self.next += 1;
        self.written += 1;
        Ok(())
    }

    /// Writes a frame that belongs to another request.
    fn write_crossed(&self, buf: &mut BytesMut, epoch: u64) -> io::Result<()> {
        let other = self.shared.read(|e| e.find_other(&self.handle.id));
        let id = other.as_ref().map_or("crossed.1.1", |h| h.id.as_str());
        let oracle = other
            .as_ref()
            .map_or(oracle::Oracle::of_hash(0), |h| h.oracle);
        let frame = Frame {
            id,
            offset: self.next,
            text: &oracle.word(self.next),
            finish_reason: None,
            epoch,
        };
        write_frame(buf, &frame)
    }

    const fn close(&mut self) -> Bytes {
        self.closed = true;
        Bytes::from_static(DONE)
    }

    /// Aborts the stream after the connection had a chance to send what was written.
    async fn break_off(&mut self) -> io::Result<Bytes> {
        self.closed = true;
        task::yield_now().await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    }
}

fn write_frame(buf: &mut BytesMut, frame: &Frame<'_>) -> io::Result<()> {
    buf.put_slice(b"data: ");
    serde_json::to_writer(buf.writer(), frame)?;
    buf.put_slice(b"\n\n");
    Ok(())
}
