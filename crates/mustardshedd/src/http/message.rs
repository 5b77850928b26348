//! JSON bodies of responses.

/// An error in the OpenAI format, with the outcome of the request.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ErrorResponse {
    /// The error.
    pub error: ErrorBody,
    /// Stable name of the outcome.
    pub outcome: &'static str,
    /// Delay after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The inner part of an [`ErrorResponse`].
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ErrorBody {
    /// Description for people.
    pub message: String,
    /// Class of the error.
    #[serde(rename = "type")]
    pub class: &'static str,
    /// Always null; the OpenAI format names a parameter here.
    pub param: Option<String>,
    /// Stable code.
    pub code: &'static str,
}

/// Response to `GET /v1/requests/{id}`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct FateResponse {
    /// Identifier of the request.
    pub id: String,
    /// Stable name of the outcome.
    pub outcome: &'static str,
    /// Code of the error that ended it.
    pub error: Option<&'static str>,
    /// Backend servers that the request was sent to.
    pub servers: Vec<String>,
    /// Response that repeats of the request get.
    pub answer: Option<StoredBody>,
}

/// A stored response.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct StoredBody {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body, as text.
    pub body: String,
}

/// A model in the OpenAI format.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ModelBody {
    /// Name.
    pub id: String,
    /// Always `model`.
    pub object: &'static str,
    /// Always zero; the OpenAI format has a time here.
    pub created: u64,
    /// Owner; always `mustardshed`.
    pub owned_by: &'static str,
}

/// Response to `GET /v1/models`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: &'static str,
    /// Models, and services backed by models.
    pub data: Vec<ModelBody>,
}

/// One entry that callers may use.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct EntryBody {
    /// Base URL.
    pub url: String,
    /// Weight relative to the other entries.
    pub weight: u32,
    /// Data centre.
    pub data_centre: String,
}

/// Response to `GET /v1/entries`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct EntryList {
    /// Entries that callers may use.
    pub entries: Vec<EntryBody>,
    /// Time for which the list is valid, in milliseconds.
    pub ttl_ms: u64,
}

/// A routing decision.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct DecisionBody {
    /// Chosen servers, several for a gang.
    pub servers: Vec<String>,
    /// Data centre.
    pub data_centre: String,
    /// Estimated time to first token, in milliseconds.
    pub estimate_ms: u64,
    /// KV memory that each server would hold, in tokens.
    pub tokens_each: u64,
}

/// A backend server in an explanation.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct CandidateBody {
    /// Name.
    pub server: String,
    /// Estimated time to first token, in milliseconds, if the server is not excluded.
    pub estimate_ms: Option<u64>,
    /// Parts of the estimate, or the reason that excludes the server.
    pub reason: String,
}

/// Response to `GET /operator/explain`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ExplainResponse {
    /// Routing decision, if the prompt would be routed.
    pub decision: Option<DecisionBody>,
    /// Reason for the decision, or why there is none.
    pub reason: String,
    /// Every server of the right kind.
    pub candidates: Vec<CandidateBody>,
}
