//! Priority classes that schedule short prompts ahead of long ones.

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
    /// Every class, the highest priority first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Longest];

    /// Returns the class of a prompt of `prompt_tokens`.
    pub fn for_prompt(prompt_tokens: ids::Tokens) -> Self {
        Self::ALL
            .into_iter()
            .find(|class| prompt_tokens <= class.max_prompt_tokens())
            .unwrap_or(Self::Longest)
    }

    /// Returns the maximum length of a prompt in this class, in tokens.
    pub const fn max_prompt_tokens(self) -> ids::Tokens {
        match self {
            Self::Short => 8_192,
            Self::Medium => 32_768,
            Self::Long => 131_072,
            Self::Longest => ids::Tokens::MAX,
        }
    }

    /// Returns the priority for engines and stewards; lower runs first.
    pub const fn priority(self) -> u32 {
        match self {
            Self::Short => 0,
            Self::Medium => 1,
            Self::Long => 2,
            Self::Longest => 3,
        }
    }
}
