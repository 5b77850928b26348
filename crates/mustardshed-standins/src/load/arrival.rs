//! One request of the load.

use std::time;

/// Length in tokens above which a prompt counts as long.
pub const LONG_TOKENS: u64 = 100_000;

/// Prefix that several prompts share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// Seed of its text.
    pub text_seed: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A request of the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Number of the arrival; long prompts that are left out are counted too.
    pub number: u64,
    /// Intended send time, relative to the start.
    pub at: time::Duration,
    /// Index of the client account.
    pub account: usize,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Prefix that it shares with others, if any.
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
