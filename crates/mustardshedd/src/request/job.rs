//! What stays the same over all attempts of one request.

use mustardshed::core::{boundary::control, error, ids, outcome, request::fate};

/// What stays the same over all attempts of one request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier.
    pub id: ids::RequestId,
    /// Client account that sent it.
    pub account: ids::ClientAccountId,
    /// Service, or model if no service stands before it; names the retry budget.
    pub service: ids::ServiceId,
    /// Time until which it must have ended.
    pub deadline: ids::Timestamp,
    /// Claim to be taken before anything is sent.
    pub claim: Option<control::ClaimRequest>,
    /// Retries for each 100 first sends, at most.
    pub retry_percent: u32,
}

impl Job {
    /// Returns the fate of this request as it stands.
    pub fn fate(
        &self,
        outcome: outcome::Outcome,
        error: Option<error::ErrorKind>,
        servers: &[ids::BackendServerId],
        answer: Option<fate::StoredResponse>,
    ) -> fate::Fate {
        fate::Fate {
            request: self.id.clone(),
            account: self.account.clone(),
            outcome,
            error,
            servers: servers.to_vec(),
            stored_response: answer,
        }
    }
}
