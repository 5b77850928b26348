//! Estimates of how long a model engine takes to prefill a prompt and to decode.
//!
//! An engine works in passes. A pass with decoding requests has several steps, each with at most
//! one chunk of prefill, so that requests that decode beside a long prefill wait for many chunks
//! before their next event. The cost of a chunk grows with the number of tokens before it.

use std::time;

use crate::ids;

/// Speed of the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Requests that an engine runs at a time.
    pub slots: u32,
    /// KV memory, in tokens.
    pub memory_tokens: ids::Tokens,
    /// Steps of a pass in which requests decode.
    pub steps_per_pass: u32,
    /// Duration of a step, in milliseconds.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in milliseconds.
    pub step_ms_per_sequence: f64,
    /// Time that a thousand tokens of context add to a step, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens prefilled per second, without attention to earlier tokens.
    pub prefill_tokens_per_s: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in milliseconds.
    pub prefill_ms_per_million_pairs: f64,
    /// Typical length of a response, in tokens.
    pub typical_output_tokens: ids::Tokens,
}

impl Profile {
    /// Returns the total engine time to prefill a prompt, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, prompt_tokens: ids::Tokens) -> f64 {
        let tokens = tokens_f64(prompt_tokens);
        let linear = tokens * 1_000.0 / self.prefill_tokens_per_s.max(1.0);
        let pairs = tokens * tokens / 2.0 / 1e6 * self.prefill_ms_per_million_pairs;
        linear + pairs
    }

    /// Returns the duration of a pass that decodes and prefills nothing, in milliseconds.
    #[must_use]
    pub fn pass_ms(&self, decoding: usize, context_tokens: ids::Tokens) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "counts of decoding are small")]
        let decoding = decoding as f64;
        let step = self.step_ms
            + decoding * self.step_ms_per_sequence
            + tokens_f64(context_tokens) / 1_000.0 * self.step_ms_per_1k_context;
        f64::from(self.steps_per_pass.max(1)) * step
    }
}

/// Converts milliseconds to a duration; values that are not a valid duration become zero.
#[must_use]
pub fn millis(ms: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}

/// Converts a number of tokens for floating-point arithmetic.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "prompts are far shorter than 2^52 tokens"
)]
pub const fn tokens_f64(tokens: ids::Tokens) -> f64 {
    tokens as f64
}
