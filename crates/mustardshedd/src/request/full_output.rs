//! A whole output and its form towards callers.

use std::fmt;

use mustardshed::core::{ids, request::fate};

/// A whole output.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FullOutput {
    /// Text.
    pub text: String,
    /// Why it ended.
    pub finish: String,
    /// Output length in tokens.
    pub tokens: ids::Tokens,
}

/// Form in which a whole output is kept for repeats.
pub trait ResponseFormat: fmt::Debug + Send + Sync {
    /// Returns the answer that a caller gets for a whole output.
    fn response(&self, whole: &FullOutput) -> fate::StoredResponse;
}
