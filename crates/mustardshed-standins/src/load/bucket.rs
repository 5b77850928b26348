//! Classes of prompts by length, for reports.

/// Class of prompts up to a length.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Bucket {
    /// Longest prompt in tokens.
    pub max_tokens: u64,
}

/// Longest prompt of each class in tokens.
const BOUNDS: [u64; 7] = [2_000, 4_000, 8_000, 32_000, 100_000, 400_000, 1_000_000];

impl Bucket {
    /// Returns the class of a prompt; one longer than every class belongs to the last.
    pub fn of_tokens(tokens: u64) -> Self {
        let found = BOUNDS.iter().find(|bound| tokens <= **bound);
        Self {
            max_tokens: *found.unwrap_or(&BOUNDS[BOUNDS.len() - 1]),
        }
    }

    /// Returns the name in reports.
    pub fn name(self) -> String {
        format!("up to {}", self.max_tokens)
    }
}
