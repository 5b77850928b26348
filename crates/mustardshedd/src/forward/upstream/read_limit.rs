//! Limit on the bytes that a connection reads.

use std::{
    io, pin,
    sync::{self, atomic},
    task,
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still be read, shared by a connection and the reader of its response.
#[derive(Clone, Debug)]
pub struct ReadLimit(sync::Arc<atomic::AtomicUsize>);

impl ReadLimit {
    /// Creates a limit of `bytes` bytes.
    pub(super) fn new(bytes: usize) -> Self {
        Self(sync::Arc::new(atomic::AtomicUsize::new(bytes)))
    }

    /// Allows `bytes` bytes from now on, replacing what was left.
    pub(super) fn set(&self, bytes: usize) {
        self.0.store(bytes, atomic::Ordering::Relaxed);
    }

    /// Subtracts bytes that were read.
    ///
    /// # Errors
    ///
    /// Returns an error if more bytes were read than allowed.
    fn consume(&self, bytes: usize) -> io::Result<()> {
        let (set, read) = (atomic::Ordering::Relaxed, atomic::Ordering::Relaxed);
        let left = |left: usize| left.checked_sub(bytes);
        let taken = self.0.try_update(set, read, left);
        let too_many = |_| io::Error::new(io::ErrorKind::InvalidData, "response too large");
        taken.map(drop).map_err(too_many)
    }
}

/// A connection that fails when it has read more bytes than allowed.
#[derive(Debug)]
pub(super) struct Limited<T> {
    inner: T,
    limit: ReadLimit,
}

impl<T> Limited<T> {
    pub(super) const fn new(inner: T, limit: ReadLimit) -> Self {
        Self { inner, limit }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Limited<T> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len().saturating_sub(before);
        match polled {
            task::Poll::Ready(Ok(())) => task::Poll::Ready(self.limit.consume(read)),
            polled => polled,
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Limited<T> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
