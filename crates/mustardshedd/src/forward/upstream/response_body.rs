//! The body of a response of a server.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use mustardshed::core::forward::response_check;

use crate::forward::upstream::{Broken, request_body};

/// A response body whose end is checked.
#[derive(Debug)]
pub struct ResponseBody {
    inner: body::Incoming,
    framing: response_check::Framing,
    progress: request_body::Progress,
}

impl ResponseBody {
    pub(super) const fn new(
        inner: body::Incoming,
        framing: response_check::Framing,
        progress: request_body::Progress,
    ) -> Self {
        Self {
            inner,
            framing,
            progress,
        }
    }

    /// Waits for the next piece; none at the end of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off.
    pub async fn next_piece(&mut self) -> Result<Option<Bytes>, Broken> {
        while let Some(frame) = self.inner.frame().await {
            if let Ok(data) = frame.map_err(|e| Broken::new(&e))?.into_data() {
                return Ok(Some(data));
            }
        }
        self.framing.validate_end(self.progress.is_written())?;
        Ok(None)
    }
}
