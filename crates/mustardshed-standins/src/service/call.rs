//! A call of a plain service.

use bytes::Bytes;

/// A call as received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Identifier from `X-Request-Id`; empty if absent.
    pub request_id: String,
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}
