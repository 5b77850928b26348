//! A response body that tells when its request ends.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body as hyper_body;

use crate::forward::{clients::Request, exchange};

/// A response body; its request ends when it is dropped.
#[derive(Debug)]
pub struct Body {
    inner: exchange::Body,
    _request: Request,
}

impl Body {
    /// Wraps the response body of a request.
    #[must_use]
    pub const fn new(inner: exchange::Body, request: Request) -> Self {
        Self {
            inner,
            _request: request,
        }
    }
}

impl hyper_body::Body for Body {
    type Data = Bytes;
    type Error = exchange::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper_body::Frame<Bytes>, exchange::BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> hyper_body::SizeHint {
        self.inner.size_hint()
    }
}
