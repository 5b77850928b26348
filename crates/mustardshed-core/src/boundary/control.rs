//! The border between traffic threads and the control thread.

use std::{fmt, sync, time};

use async_trait::async_trait;

use crate::{boundary::backend_server, error, ids, process::snapshot, request::fate};

/// What a traffic thread wants to place on one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CreditRequest {
    /// Request for which the credit is.
    pub request: ids::RequestId,
    /// Client account that pays.
    pub account: ids::ClientAccountId,
    /// Backend server on which the work is to be placed.
    pub server: ids::BackendServerId,
    /// KV memory that the work holds at most, in tokens.
    pub tokens: ids::Tokens,
    /// Prompt tokens that must be prefilled.
    pub prefill_tokens: ids::Tokens,
    /// Priority; lower goes first.
    pub priority: u32,
    /// Time until which waiting for the credit makes sense.
    pub wait_until: ids::Timestamp,
    /// Whether this is one member of a gang; such a credit stands behind a reservation.
    pub gang: bool,
}

/// Leave to place one piece of work on one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Credit {
    /// Request for which the credit is.
    pub request: ids::RequestId,
    /// Backend server.
    pub server: ids::BackendServerId,
    /// KV memory in tokens.
    pub tokens: ids::Tokens,
    /// Epoch of the server for which the credit was granted.
    pub epoch: ids::Epoch,
    /// Time until which the work must have been sent.
    pub use_by: ids::Timestamp,
}

/// How work on a backend server went, as its entry saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Feedback {
    /// Request.
    pub request: ids::RequestId,
    /// Backend server.
    pub server: ids::BackendServerId,
    /// Prompt tokens that were prefilled.
    pub prefill_tokens: ids::Tokens,
    /// Time from the send to the first token, once there was one.
    pub first_token: Option<time::Duration>,
    /// Epoch that the server's last frame carried.
    pub epoch: Option<ids::Epoch>,
    /// Failure, if the work failed.
    pub failure: Option<backend_server::BackendServerError>,
}

impl Feedback {
    /// Makes the feedback on a credit for which nothing was sent.
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

/// A non-idempotent call about to be sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimRequest {
    /// Client account.
    pub account: ids::ClientAccountId,
    /// Key that the caller chose.
    pub key: String,
    /// Digest of method, path and body.
    pub body_digest: [u8; 32],
    /// Request that will carry out the call if the claim is granted.
    pub request: ids::RequestId,
}

/// Answer to a [`ClaimRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// This request alone may send the call, once.
    Granted,
    /// An earlier request with the same key and body holds or held the claim.
    Duplicate(fate::Fate),
}

/// What traffic threads ask of the control thread.
#[async_trait]
pub trait Control: fmt::Debug + Send + Sync {
    /// Returns the newest snapshot of what this entry knows; never blocks.
    fn snapshot(&self) -> sync::Arc<snapshot::Snapshot>;

    /// Returns an identifier for a new request; it names this process and, with a claim, its claim.
    fn next_request_id(&self, claim: Option<(&ids::ClientAccountId, &str)>) -> ids::RequestId;

    /// Asks the steward of a backend server for a credit.
    async fn acquire(&self, req: CreditRequest) -> Result<Credit, error::Error>;

    /// Gives a credit back; called once for each credit, after the work ended or was not sent.
    fn release(&self, credit: Credit, feedback: Feedback);

    /// Claims a non-idempotent call.
    async fn claim(&self, req: ClaimRequest) -> Result<Claim, error::Error>;

    /// Records the final fate of a claimed call so that repeats find it.
    async fn settle(&self, req: ClaimRequest, fate: fate::Fate) -> Result<(), error::Error>;

    /// Records the present fate of a request of this entry.
    fn record(&self, fate: fate::Fate);

    /// Finds the fate of any request, of this entry or another.
    async fn fate(&self, id: &ids::RequestId) -> Result<fate::Fate, error::Error>;
}
