//! Interface between traffic threads and the control thread.

use std::{fmt, sync, time};

use async_trait::async_trait;

use crate::{boundary::backend_server, error, ids, process::snapshot, request::fate};

/// A traffic thread's request for a [`Credit`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreditRequest {
    /// Request that needs the credit.
    pub request: ids::RequestId,
    /// Client account to which the work is charged.
    pub account: ids::ClientAccountId,
    /// Backend server on which to place the work.
    pub server: ids::BackendServerId,
    /// Maximum KV memory of the work, in tokens.
    pub tokens: ids::Tokens,
    /// Prompt tokens to prefill.
    pub prefill_tokens: ids::Tokens,
    /// Priority; lower goes first.
    pub priority: u32,
    /// Time after which the credit is of no use any more.
    pub wait_until: ids::Timestamp,
    /// Whether the work is one part of a gang's; such a credit covers a reservation.
    pub gang: bool,
}

/// Permission to place one piece of work on one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Credit {
    /// Request that needs the credit.
    pub request: ids::RequestId,
    /// Backend server.
    pub server: ids::BackendServerId,
    /// Maximum KV memory of the work, in tokens.
    pub tokens: ids::Tokens,
    /// Epoch of the server for which the credit was granted.
    pub epoch: ids::Epoch,
    /// Time by which the work must be sent.
    pub use_by: ids::Timestamp,
}

/// Result of work on a backend server, as observed by the entry that sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Feedback {
    /// Request.
    pub request: ids::RequestId,
    /// Backend server.
    pub server: ids::BackendServerId,
    /// Prompt tokens that were prefilled.
    pub prefill_tokens: ids::Tokens,
    /// Time from sending to the first token, if one arrived.
    pub first_token: Option<time::Duration>,
    /// Epoch in the server's last frame.
    pub epoch: Option<ids::Epoch>,
    /// Failure, if the work failed.
    pub failure: Option<backend_server::BackendServerError>,
}

impl Feedback {
    /// Makes the feedback for a credit with which nothing was sent.
    pub fn unused(credit: &Credit) -> Self {
        Self {
            request: credit.request.clone(),
            server: credit.server.clone(),
            prefill_tokens: 0,
            first_token: None,
            epoch: None,
            failure: None,
        }
    }
}

/// A claim for a non-idempotent call that is about to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Client account.
    pub account: ids::ClientAccountId,
    /// Idempotency key that the caller chose.
    pub key: String,
    /// Digest of method, path and body.
    pub body_digest: [u8; 32],
    /// Request that sends the call if the claim is granted.
    pub request: ids::RequestId,
}

/// Response to a [`ClaimRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// Only this request may send the call, and only once.
    Granted,
    /// An earlier request with the same key and body holds or held the claim; this is its fate.
    Duplicate(fate::Fate),
}

/// Operations of the control thread that traffic threads call.
#[async_trait]
pub trait Control: fmt::Debug + Send + Sync {
    /// Returns the latest snapshot of this entry's state; never blocks.
    fn snapshot(&self) -> sync::Arc<snapshot::Snapshot>;

    /// Returns an identifier for a new request.
    ///
    /// It names this process and, for a claim given by account and idempotency key, that claim.
    fn next_request_id(&self, claim: Option<(&ids::ClientAccountId, &str)>) -> ids::RequestId;

    /// Requests a credit from the backend server's steward, the entry that grants its credits.
    async fn acquire(&self, req: CreditRequest) -> Result<Credit, error::Error>;

    /// Returns a credit; called once for each credit, after the work ended or was not sent.
    fn release(&self, credit: Credit, feedback: Feedback);

    /// Claims a non-idempotent call.
    async fn claim(&self, req: ClaimRequest) -> Result<Claim, error::Error>;

    /// Records the final fate of a claimed call, which repeated calls are then told.
    async fn settle(&self, req: ClaimRequest, fate: fate::Fate) -> Result<(), error::Error>;

    /// Records the current fate of a request of this entry.
    fn record(&self, fate: fate::Fate);

    /// Looks up the fate of a request of this entry or of another.
    async fn fate(&self, id: &ids::RequestId) -> Result<fate::Fate, error::Error>;
}
