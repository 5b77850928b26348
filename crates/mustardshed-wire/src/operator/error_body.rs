//! The body of an error answer.

/// Body of an error answer, in the OpenAI error form.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
    /// What is known of the request's fate.
    #[serde(default)]
    pub outcome: Option<String>,
}

/// An error within its body.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct ErrorDetail {
    /// Sentence for a person.
    pub message: String,
    /// Type in the OpenAI error form.
    #[serde(rename = "type")]
    pub class: String,
    /// Stable code from the closed list of error kinds.
    pub code: String,
}
