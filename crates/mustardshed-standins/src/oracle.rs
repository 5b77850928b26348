//! Output that the stand-in engine generates for a prompt.
//!
//! Token K of a prompt is the word `wN ` with N = (xxh3-64(prompt bytes) + K) mod 100000, so
//! anyone who has the prompt can check that a response is complete, in order and its own.
//!
//! ```
//! use mustardshed_standins::oracle;
//!
//! let expected = oracle::Oracle::of_text("draft");
//! assert_eq!(expected.text(0, 2), expected.word(0) + &expected.word(1));
//! ```

use xxhash_rust::xxh3;

/// Bytes of text per token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Number of distinct output words.
const WORDS: u64 = 100_000;

/// Expected output of one prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Oracle {
    hash: u64,
}

impl Oracle {
    /// Returns the oracle of a prompt given as text.
    pub fn of_text(prompt: &str) -> Self {
        Self::of_hash(xxh3::xxh3_64(prompt.as_bytes()))
    }

    /// Returns the oracle of a prompt given as integers, one token each.
    pub fn of_tokens(tokens: &[u32]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for token in tokens {
            hasher.update(&token.to_le_bytes());
        }
        Self::of_hash(hasher.digest())
    }

    /// Returns the oracle of a prompt whose bytes hash to `hash`.
    pub const fn of_hash(hash: u64) -> Self {
        Self { hash }
    }

    /// Returns output token `k`, counted from zero.
    pub fn word(self, k: u64) -> String {
        format!("w{} ", self.hash.wrapping_add(k) % WORDS)
    }

    /// Returns the output tokens from `start` (inclusive) to `end` (exclusive).
    pub fn text(self, start: u64, end: u64) -> String {
        (start..end).map(|k| self.word(k)).collect()
    }
}

/// Returns the length in tokens of a text of `bytes` bytes.
pub const fn tokens_of_bytes(bytes: u64) -> u64 {
    bytes.div_ceil(BYTES_PER_TOKEN)
}
