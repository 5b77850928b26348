//! Prompts as callers send them: text, or a list of tokens.

use std::fmt;

use bytes::{Bytes, BytesMut};
use mustardshed::core::{boundary::backend_server, ids};
use serde::de;

/// A prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Prompt {
    /// Text.
    Text(String),
    /// Tokens.
    Tokens(Vec<u32>),
}

impl Prompt {
    /// Returns the format of the bytes that an engine is sent.
    pub const fn form(&self) -> backend_server::PromptFormat {
        match self {
            Self::Text(_) => backend_server::PromptFormat::Text,
            Self::Tokens(_) => backend_server::PromptFormat::Tokens,
        }
    }

    /// Returns the bytes that an engine is sent; tokens are little-endian 32-bit integers.
    pub fn into_bytes(self) -> Bytes {
        match self {
            Self::Text(text) => text.into(),
            Self::Tokens(tokens) => {
                let mut buf = BytesMut::with_capacity(tokens.len() * size_of::<u32>());
                for token in tokens {
                    buf.extend_from_slice(&token.to_le_bytes());
                }
                buf.freeze()
            }
        }
    }

    /// Returns the length in tokens; for text it is computed from the number of bytes.
    pub fn tokens(&self, bytes_per_token: u32) -> ids::Tokens {
        match self {
            Self::Text(text) => {
                (text.len() as ids::Tokens).div_ceil(ids::Tokens::from(bytes_per_token.max(1)))
            }
            Self::Tokens(tokens) => tokens.len() as ids::Tokens,
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
        f.write_str("a text, a list of one text, or a list of token numbers")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Prompt, E> {
        Ok(Prompt::Text(text.to_owned()))
    }

    fn visit_string<E: de::Error>(self, text: String) -> Result<Prompt, E> {
        Ok(Prompt::Text(text))
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<Prompt, A::Error> {
        let first = seq.next_element::<Element>()?;
        let mut tokens = match first {
            None => return Err(de::Error::invalid_length(0, &self)),
            Some(Element::Text(text)) => {
                return match seq.next_element::<de::IgnoredAny>()? {
                    None => Ok(Prompt::Text(text)),
                    Some(_) => Err(de::Error::custom("several prompts in one request")),
                };
            }
            Some(Element::Token(token)) => vec![token],
        };
        while let Some(token) = seq.next_element::<u32>()? {
            tokens.push(token);
        }
        Ok(Prompt::Tokens(tokens))
    }
}

/// First element of a list.
#[derive(serde::Deserialize)]
#[serde(untagged)]
enum Element {
    Text(String),
    Token(u32),
}
