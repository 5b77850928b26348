//! The fate of a request and what a repeat or a later question is told of it.

use bytes::Bytes;

use crate::{error, ids, outcome};

/// HTTP status of a service that takes no more calls from this client for now.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status of a service that takes no calls for now.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Whole answer of a plain service, or of a completion that was claimed, kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Returns the outcome of a call that may not be repeated and was answered so.
    ///
    /// A service that answers 429 or 503 says that it did not take the call. That is no proof: a
    /// proxy before the service, or a part of it, may say so after another part has done the work.
    pub const fn outcome(&self) -> outcome::Outcome {
        match self.status {
            TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE => outcome::Outcome::Unknown,
            _ => outcome::Outcome::Completed,
        }
    }
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
    pub answer: Option<StoredResponse>,
}

impl Fate {
    /// Makes the fate of a request of which nobody can say whether it ran.
    pub const fn unknown(request: ids::RequestId, account: ids::ClientAccountId) -> Self {
        Self {
            request,
            account,
            outcome: outcome::Outcome::Unknown,
            error: Some(error::ErrorKind::FateUnknown),
            servers: Vec::new(),
            answer: None,
        }
    }
}
