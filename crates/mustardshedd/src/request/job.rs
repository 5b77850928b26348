//! Properties of a request that are the same for all its attempts.

use mustardshed::core::{boundary::control, error, ids, outcome, request::fate};

/// Properties of a request that are the same for all its attempts.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Client account that sent it.
    pub account: ids::ClientAccountId,
    /// Service, or model if it is used without one; also the name of the retry budget.
    pub service: ids::ServiceId,
    /// Time by which the request must have ended.
    pub deadline: ids::Timestamp,
    /// Claim to acquire before anything is sent, if the request runs at most once.
    pub claim: Option<control::ClaimRequest>,
    /// Greatest number of retries per 100 first sends.
    pub retry_percent: u32,
}

impl Job {
    /// Returns the fate of this request with what is known now.
    pub fn fate(
        &self,
        outcome: outcome::Outcome,
        error: Option<error::ErrorKind>,
        servers: &[ids::BackendServerId],
        response: Option<fate::StoredResponse>,
    ) -> fate::Fate {
        fate::Fate {
            request: self.id.clone(),
            account: self.account.clone(),
            outcome,
            error,
            servers: servers.to_vec(),
            stored_response: response,
        }
    }
}
