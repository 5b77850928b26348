//! The body of a request to a server.

use std::{
    convert, pin,
    sync::{self, atomic},
    task,
};

use bytes::Bytes;
use hyper::body;

/// Size of the pieces in which the body is sent, in bytes: a connection that cannot write several
/// buffers at once copies each piece.
const PIECE_BYTES: usize = 16 * 1024;

/// A request body of known length, sent in pieces.
#[derive(Clone, Debug)]
pub struct RequestBody {
    rest: Bytes,
    progress: Progress,
}

/// Whether a request body has been handed over to its connection as a whole.
#[derive(Clone, Debug)]
pub(super) struct Progress(sync::Arc<atomic::AtomicBool>);

impl Progress {
    pub(super) fn is_written(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

impl RequestBody {
    /// Creates a body with these bytes.
    #[must_use]
    pub fn new(bytes: Bytes) -> Self {
        let is_written = atomic::AtomicBool::new(bytes.is_empty());
        Self {
            rest: bytes,
            progress: Progress(sync::Arc::new(is_written)),
        }
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.clone()
    }
}

impl body::Body for RequestBody {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        if self.rest.is_empty() {
            return task::Poll::Ready(None);
        }
        let len = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(len);
        let is_written = self.rest.is_empty();
        self.progress.0.store(is_written, atomic::Ordering::Relaxed);
        task::Poll::Ready(Some(Ok(body::Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.rest.len() as u64)
    }
}
