//! The value of a claim as JSON, as stored on the platform.

use std::time;

use displaydoc::Display;
use mustardshed_core::{error, outcome, request::claim, request::fate};

/// Largest response body stored for repeated calls, in bytes; a fate with a larger one is stored
/// without its response.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// A claim as JSON.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Claim {
    /// Request that holds the claim.
    pub request: String,
    /// SHA-256 digest of method, path and body, in hexadecimal.
    pub body_sha256: String,
    /// Time of the claim in milliseconds since the Unix epoch.
    pub created_at_ms: u64,
    /// Final fate, once it is known.
    pub fate: Option<Fate>,
}

/// A final fate as JSON.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Fate {
    /// Client account.
    pub account: String,
    /// Stable name of the outcome.
    pub outcome: String,
    /// Stable code of the error that ended it.
    pub error: Option<String>,
    /// Backend servers to which the request was sent.
    pub servers: Vec<String>,
    /// Response for repeated calls.
    pub answer: Option<StoredResponse>,
}

/// A stored response as JSON.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body in hexadecimal.
    pub body: String,
}

/// Why a claim cannot be encoded or decoded.
#[derive(Debug, Display)]
pub enum ClaimError {
    /// not a claim: {0}
    Json(serde_json::Error),
    /// the field {0} is invalid
    Field(&'static str),
}

impl std::error::Error for ClaimError {}

impl From<claim::Value> for Claim {
    fn from(value: claim::Value) -> Self {
        Self {
            request: value.request,
            body_sha256: hex::encode(value.body_digest),
            created_at_ms: u64::try_from(value.created_at.as_millis()).unwrap_or(u64::MAX),
            fate: value.fate.map(Fate::from),
        }
    }
}

impl TryFrom<Claim> for claim::Value {
    type Error = ClaimError;

    fn try_from(claim: Claim) -> Result<Self, Self::Error> {
        let mut body_digest = [0; 32];
        hex::decode_to_slice(&claim.body_sha256, &mut body_digest)
            .map_err(|_| ClaimError::Field("body_sha256"))?;
        let fate = claim.fate.map(|fate| fate.of_request(&claim.request));
        Ok(Self {
            request: claim.request,
            body_digest,
            created_at: time::Duration::from_millis(claim.created_at_ms),
            fate: fate.transpose()?,
        })
    }
}

impl From<fate::Fate> for Fate {
    fn from(fate: fate::Fate) -> Self {
        Self {
            account: fate.account,
            outcome: fate.outcome.as_str().to_owned(),
            error: fate.error.map(|kind| kind.to_response().code.to_owned()),
            servers: fate.servers,
            answer: fate.stored_response.and_then(StoredResponse::within_limit),
        }
    }
}

impl Fate {
    fn of_request(self, request: &str) -> Result<fate::Fate, ClaimError> {
        let kind =
            |code: String| error::ErrorKind::from_code(&code).ok_or(ClaimError::Field("error"));
        let outcome = outcome::Outcome::from_name(&self.outcome);
        Ok(fate::Fate {
            request: request.to_owned(),
            account: self.account,
            outcome: outcome.ok_or(ClaimError::Field("outcome"))?,
            error: self.error.map(kind).transpose()?,
            servers: self.servers,
            stored_response: self.answer.map(TryInto::try_into).transpose()?,
        })
    }
}

impl StoredResponse {
    /// Converts a response; returns `None` if its body exceeds [`MAX_BODY_BYTES`].
    fn within_limit(response: fate::StoredResponse) -> Option<Self> {
        (response.body.len() <= MAX_BODY_BYTES).then(|| Self {
            status: response.status,
            content_type: response.content_type,
            body: hex::encode(&response.body),
        })
    }
}

impl TryFrom<StoredResponse> for fate::StoredResponse {
    type Error = ClaimError;

    fn try_from(response: StoredResponse) -> Result<Self, Self::Error> {
        let body = hex::decode(&response.body).map_err(|_| ClaimError::Field("body"))?;
        Ok(Self {
            status: response.status,
            content_type: response.content_type,
            body: body.into(),
        })
    }
}

/// Encodes a claim.
///
/// # Errors
///
/// Returns an error if the claim cannot be written as JSON.
pub fn encode(value: &claim::Value) -> Result<Vec<u8>, ClaimError> {
    serde_json::to_vec(&Claim::from(value.clone())).map_err(ClaimError::Json)
}

/// Decodes a claim.
///
/// # Errors
///
/// Returns an error if `buf` is not JSON of a [`Claim`] or a field of it is invalid.
pub fn decode(buf: &[u8]) -> Result<claim::Value, ClaimError> {
    let claim: Claim = serde_json::from_slice(buf).map_err(ClaimError::Json)?;
    claim.try_into()
}
