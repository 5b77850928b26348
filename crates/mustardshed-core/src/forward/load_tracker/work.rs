//! Work that requests bring to a server.

use std::{iter, ops};

use crate::{forward::engine, ids};

/// Work that delays the other requests of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Engine time of prefills at the speed of the server's profile, in milliseconds.
    pub prefill_ms: f64,
    /// Number of steps of decoding requests.
    pub steps: f64,
    /// Sum of the contexts of these steps, in tokens.
    pub context_tokens: f64,
}

impl Work {
    /// Returns the work of a prefill that takes this engine time in milliseconds.
    #[must_use]
    pub const fn prefill(ms: f64) -> Self {
        Self {
            prefill_ms: ms,
            steps: 0.0,
            context_tokens: 0.0,
        }
    }

    /// Returns the work of decoding a response with a context of this length.
    #[must_use]
    pub fn decoding(output_tokens: ids::Tokens, context_tokens: ids::Tokens) -> Self {
        let steps = engine::tokens_f64(output_tokens);
        Self {
            prefill_ms: 0.0,
            steps,
            context_tokens: steps * engine::tokens_f64(context_tokens),
        }
    }

    /// Returns the engine time that it takes at the speed of the profile, in milliseconds.
    #[must_use]
    pub fn ms(&self, profile: &engine::Profile) -> f64 {
        self.prefill_ms
            + self.steps * profile.step_ms_per_sequence
            + self.context_tokens / 1_000.0 * profile.step_ms_per_1k_context
    }
}

impl ops::Add for Work {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            prefill_ms: self.prefill_ms + other.prefill_ms,
            steps: self.steps + other.steps,
            context_tokens: self.context_tokens + other.context_tokens,
        }
    }
}

impl iter::Sum for Work {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), ops::Add::add)
    }
}
