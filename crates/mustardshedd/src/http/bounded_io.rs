//! A connection with a timeout for writes.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};

/// A connection on which a write fails if it makes no progress for too long.
///
/// Without this a caller that never reads would keep its connection open for ever, and a planned
/// stop would wait for it.
#[derive(Debug)]
pub struct BoundedIo {
    stream: net::TcpStream,
    write_timeout: time::Duration,
    stalled: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl BoundedIo {
    /// Wraps a connection.
    pub const fn new(stream: net::TcpStream, write_timeout: time::Duration) -> Self {
        Self {
            stream,
            write_timeout,
            stalled: None,
        }
    }

    /// Passes on the result of a write, or fails it once writes have stalled for too long.
    fn bound<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.stalled = None;
            return polled;
        }
        let timeout = self.write_timeout;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if stalled.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for BoundedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for BoundedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.bound(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.bound(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.bound(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.bound(cx, polled)
    }
}
