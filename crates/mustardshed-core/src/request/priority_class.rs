//! Lanes that keep short prompts ahead of long ones.

use crate::ids;

/// Class of prompts by length; a shorter class runs first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PriorityClass {
    /// At most 8,192 prompt tokens.
    Short,
    /// At most 32,768 prompt tokens.
    Medium,
    /// At most 131,072 prompt tokens.
    Long,
    /// More than that.
    Longest,
}

impl PriorityClass {
    /// Every lane, the first served first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Longest];

    /// Returns the lane of a prompt of `prompt_tokens`.
    pub fn for_prompt(prompt_tokens: ids::Tokens) -> Self {
        Self::ALL
            .into_iter()
            .find(|lane| prompt_tokens <= lane.max_prompt_tokens())
            .unwrap_or(Self::Longest)
    }

    /// Returns the length of the longest prompt in this lane, in tokens.
    pub const fn max_prompt_tokens(self) -> ids::Tokens {
        match self {
            Self::Short => 8_192,
            Self::Medium => 32_768,
            Self::Long => 131_072,
            Self::Longest => ids::Tokens::MAX,
        }
    }

    /// Returns the priority that engines and stewards are given; lower goes first.
    pub const fn priority(self) -> u32 {
        match self {
            Self::Short => 0,
            Self::Medium => 1,
            Self::Long => 2,
            Self::Longest => 3,
        }
    }
}
