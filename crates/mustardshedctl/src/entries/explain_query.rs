//! The question where a prompt would go.

use mustardshed::core::ids;

/// A prompt of which operators want to know where it would go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExplainQuery {
    /// Client account.
    pub account: ids::ClientAccountId,
    /// Service.
    pub service: ids::ServiceId,
    /// Length of the prompt, in tokens.
    pub tokens: ids::Tokens,
}
