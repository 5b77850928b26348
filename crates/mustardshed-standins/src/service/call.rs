//! A call on a plain service.

use bytes::Bytes;

/// A call as it arrived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifier that its sender gave it in `X-Request-Id`; empty if there is none.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}
