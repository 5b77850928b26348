//! The body of a request to a server.

use std::{convert, pin, task};

use bytes::Bytes;
use hyper::body;

/// Size of the pieces in which the body is sent, in bytes: a connection that cannot write several
/// buffers at once copies each piece.
const PIECE_BYTES: usize = 16 * 1024;

/// A request body of known length, sent in pieces.
#[derive(Clone, Debug)]
pub struct RequestBody(Bytes);

impl RequestBody {
    /// Creates a body with these bytes.
    #[must_use]
    pub const fn new(bytes: Bytes) -> Self {
        Self(bytes)
    }
}

impl body::Body for RequestBody {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        if self.0.is_empty() {
            return task::Poll::Ready(None);
        }
        let len = self.0.len().min(PIECE_BYTES);
        task::Poll::Ready(Some(Ok(body::Frame::data(self.0.split_to(len)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.0.len() as u64)
    }
}
