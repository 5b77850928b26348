//! The response to a call that must not be repeated.

/// The response to a call that must not be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Charge {
    /// Identifier of the request.
    pub request_id: String,
    /// Body of the response.
    pub answer: serde_json::Value,
}
