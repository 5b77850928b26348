//! The fate of a request, as repeated calls and later queries are told it.

use bytes::Bytes;

use crate::{error, ids, outcome};

/// HTTP status of a service that rejects further calls of this client for now.
const TOO_MANY_REQUESTS: u16 = 429;
/// HTTP status of a service that rejects all calls for now.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Whole response of a plain service or of a claimed completion, stored for repeated calls.
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
    /// Returns the outcome of a non-repeatable call with this response.
    ///
    /// The status 429 or 503 says that the service rejected the call. That is no proof: a proxy in
    /// front of the service, or a part of it, may send it after another part has done the work.
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
    /// Client account that sent it; no other account may see the fate.
    pub account: ids::ClientAccountId,
    /// Outcome, as far as it is known.
    pub outcome: outcome::Outcome,
    /// Kind of the error that ended it, if one did.
    pub error: Option<error::ErrorKind>,
    /// Backend servers to which the request was sent.
    pub servers: Vec<ids::BackendServerId>,
    /// Response for repeated calls.
    pub stored_response: Option<StoredResponse>,
}

impl Fate {
    /// Makes the fate of a request that may or may not have run.
    pub const fn unknown(request: ids::RequestId, account: ids::ClientAccountId) -> Self {
        Self {
            request,
            account,
            outcome: outcome::Outcome::Unknown,
            error: Some(error::ErrorKind::FateUnknown),
            servers: Vec::new(),
            stored_response: None,
        }
    }
}
