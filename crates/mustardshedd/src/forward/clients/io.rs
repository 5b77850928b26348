//! A client's connection that reports what it carries.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{forward::clients::Handle, http::bounded_io};

/// A connection that reports the bytes it receives and whether its client reads.
#[derive(Debug)]
pub struct Io {
    inner: bounded_io::BoundedIo,
    handle: Handle,
    is_unread: bool,
}

impl Io {
    /// Wraps a connection.
    #[must_use]
    pub const fn new(inner: bounded_io::BoundedIo, handle: Handle) -> Self {
        Self {
            inner,
            handle,
            is_unread: false,
        }
    }

    /// Reports whether a write waits for the client.
    fn report<T>(&mut self, polled: Poll<T>) -> Poll<T> {
        if self.is_unread != polled.is_pending() {
            self.is_unread = polled.is_pending();
            self.handle.record_unread(self.is_unread);
        }
        polled
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.handle.record_received(received);
        }
        polled
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.report(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.report(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
