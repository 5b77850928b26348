//! One request of the load.

use std::time;

/// Prompts longer than this are long, in tokens.
pub const LONG_TOKENS: u64 = 100_000;

/// Beginning that several prompts share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// Seed of its text.
    pub text_seed: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Request that is to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Number of the arrival; long prompts that are left out count as well.
    pub number: u64,
    /// Intended send time from the start.
    pub at: time::Duration,
    /// Index of the client account.
    pub account: usize,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Beginning that it shares with others.
    pub prefix: Option<SharedPrefix>,
    /// Seed of the rest of the prompt.
    pub text_seed: u64,
}

impl Arrival {
    /// Returns whether the prompt is long.
    pub const fn is_long(&self) -> bool {
        self.prompt_tokens > LONG_TOKENS
    }
}
