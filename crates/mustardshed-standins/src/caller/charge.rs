//! The answer to a call that may not be repeated.

/// The answer to a call that may not be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// Identifier of the request.
    pub request_id: String,
    /// Body of the answer.
    pub answer: serde_json::Value,
}
