//! The body of an error response.

/// Body of an error response, in the OpenAI error format.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
    /// Outcome of the request, as far as it is known.
    #[serde(default)]
    pub outcome: Option<String>,
}

/// The error in an [`ErrorBody`].
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct ErrorDetail {
    /// Human-readable message.
    pub message: String,
    /// Type in the OpenAI error format.
    #[serde(rename = "type")]
    pub class: String,
    /// Stable code of the error kind.
    pub code: String,
}
