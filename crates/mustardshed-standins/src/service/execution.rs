//! The record of one execution.

/// One execution of a call, also of one that was aborted while it ran.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Execution {
    /// Number of the execution, from 1.
    pub execution: u64,
    /// Identifier from `X-Request-Id`.
    pub request_id: String,
    /// Start time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// SHA-256 digest of the body as hexadecimal digits.
    pub body_sha256: String,
    /// Whether a call of this kind may not be repeated.
    pub non_repeatable: bool,
}
