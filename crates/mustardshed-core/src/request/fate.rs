//! The fate of a request and what a repeat or a later question is told of it.

use bytes::Bytes;

use crate::{error, ids, outcome};

/// Whole answer of a plain service, or of a completion that was claimed, kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// What is known of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fate {
    /// Identifier of the request.
    pub request: ids::RequestId,
    /// Client account that sent it; nobody else may see it.
    pub account: ids::ClientAccountId,
    /// Outcome as far as it is known.
    pub outcome: outcome::Outcome,
    /// Kind of the error that ended it, if one did.
    pub error: Option<error::ErrorKind>,
    /// Backend servers that were given the request.
    pub servers: Vec<ids::BackendServerId>,
    /// Answer for repeats.
    pub answer: Option<KeptAnswer>,
}
