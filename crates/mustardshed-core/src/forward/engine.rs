//! How long a model engine takes to read a prompt and to write.
//!
//! An engine works in passes. A pass in which somebody writes has several steps, each with at most
//! a chunk of prompt, so that writers beside a long read wait for many chunks before their next
//! event; the cost of a chunk grows with all the tokens before it.

use std::time;

use crate::ids;

/// Speed of the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Profile {
    /// Requests that an engine runs at a time.
    pub slots: u32,
    /// KV memory, in tokens.
    pub memory_tokens: ids::Tokens,
    /// Steps of a pass in which somebody writes.
    pub steps_per_pass: u32,
    /// Time of a step, in milliseconds.
    pub step_ms: f64,
    /// Time added to a step by each writing request, in milliseconds.
    pub step_ms_per_sequence: f64,
    /// Time added to a step by a thousand tokens of context, in milliseconds.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Time of a million pairs of a prompt token and an earlier one, in milliseconds.
    pub prefill_ms_per_million_pairs: f64,
    /// Usual length of an answer, in tokens.
    pub typical_output_tokens: ids::Tokens,
}

impl Profile {
    /// Returns the engine time that reading a prompt takes in all, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, prompt_tokens: ids::Tokens) -> f64 {
        let tokens = tokens_f64(prompt_tokens);
        let linear = tokens * 1_000.0 / self.prefill_tokens_per_s.max(1.0);
        let pairs = tokens * tokens / 2.0 / 1e6 * self.prefill_ms_per_million_pairs;
        linear + pairs
    }

    /// Returns the time of a pass with writers and without reading, in milliseconds.
    #[must_use]
    pub fn pass_ms(&self, writers: usize, context_tokens: ids::Tokens) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "counts of writers are small")]
        let writers = writers as f64;
        let step = self.step_ms
            + writers * self.step_ms_per_sequence
            + tokens_f64(context_tokens) / 1_000.0 * self.step_ms_per_1k_context;
        f64::from(self.steps_per_pass.max(1)) * step
    }
}

/// Returns milliseconds as a duration; what is no time counts as none.
#[must_use]
pub fn millis(ms: f64) -> time::Duration {
    time::Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}

/// Returns a number of tokens for arithmetic.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "prompts are far shorter than 2^52 tokens"
)]
pub const fn tokens_f64(tokens: ids::Tokens) -> f64 {
    tokens as f64
}
