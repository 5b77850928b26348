//! Length and prefix hashes of a prompt.

use std::{fmt, sync};

use serde::de;
use xxhash_rust::xxh3;

use crate::oracle;

/// Tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: u64 = 256;

const BLOCK_BYTES: usize = (BLOCK_TOKENS * oracle::BYTES_PER_TOKEN) as usize;

/// Length and hashes of a prompt; its text is not kept.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Length in tokens.
    pub tokens: u64,
    /// Output that the prompt leads to.
    pub oracle: oracle::Oracle,
    /// xxh3-64 of the prompt's bytes up to the end of each whole block.
    pub prefixes: sync::Arc<[u64]>,
}

impl Prompt {
    /// Returns the length and hashes of a prompt with these bytes.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        let mut prefixes = Vec::with_capacity(bytes.len() / BLOCK_BYTES);
        for block in bytes.chunks(BLOCK_BYTES) {
            hasher.update(block);
            if block.len() == BLOCK_BYTES {
                prefixes.push(hasher.digest());
            }
        }
        Self {
            tokens: oracle::tokens_of_bytes(bytes.len() as u64),
            oracle: oracle::Oracle::of_hash(hasher.digest()),
            prefixes: prefixes.into(),
        }
    }
}

impl<'de> de::Deserialize<'de> for Prompt {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(PromptVisitor)
    }
}

struct PromptVisitor;

impl<'de> de::Visitor<'de> for PromptVisitor {
    type Value = Prompt;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or an array of integers")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Prompt, E> {
        Ok(Prompt::of_bytes(text.as_bytes()))
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Prompt, A::Error> {
        let mut bytes = Vec::new();
        while let Some(token) = seq.next_element::<u32>()? {
            bytes.extend_from_slice(&token.to_le_bytes());
        }
        Ok(Prompt::of_bytes(&bytes))
    }
}
