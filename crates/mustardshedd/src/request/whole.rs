//! A whole output and its form towards callers.

use std::fmt;

use mustardshed::core::{ids, request::fate};

/// A whole output.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Whole {
    /// Text.
    pub text: String,
    /// Why it ended.
    pub finish: String,
    /// Output length in tokens.
    pub tokens: ids::Tokens,
}

/// Form in which a whole output is kept for repeats.
pub trait Form: fmt::Debug + Send + Sync {
    /// Returns the answer that a caller gets for a whole output.
    fn answer(&self, whole: &Whole) -> fate::StoredResponse;
}
