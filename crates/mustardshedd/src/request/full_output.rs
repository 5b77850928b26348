//! Full output of a prompt and its format in responses.

use std::fmt;

use mustardshed::core::{ids, request::fate};

/// Full output of a prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FullOutput {
    /// Text of the output.
    pub text: String,
    /// Reason for which the output ended.
    pub finish: String,
    /// Output length in tokens.
    pub tokens: ids::Tokens,
}

/// Format in which a full output is stored for duplicates.
pub trait ResponseFormat: fmt::Debug + Send + Sync {
    /// Returns the response that a caller gets for a full output.
    fn response(&self, output: &FullOutput) -> fate::StoredResponse;
}
