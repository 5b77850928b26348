//! Query of where a prompt would be routed.

use mustardshed::core::ids;

/// A prompt whose route an operator wants to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExplainQuery {
    /// Client account that would send it.
    pub account: ids::ClientAccountId,
    /// Service that it is meant for.
    pub service: ids::ServiceId,
    /// Length of the prompt, in tokens.
    pub tokens: ids::Tokens,
}
