//! Prompts of a given length.

use crate::oracle;

/// Returns a prompt of exactly `tokens` tokens; prompts of different titles share no prefix.
pub fn of_tokens(title: &str, tokens: u64) -> String {
    let bytes = usize::try_from(tokens * oracle::BYTES_PER_TOKEN).unwrap_or(usize::MAX);
    let mut prompt = String::with_capacity(bytes + 64);
    let mut line = 0_u64;
    while prompt.len() < bytes {
        line += 1;
        prompt.push_str(&format!(
            "{title}, line {line}: compare it with its earlier printing.\n"
        ));
    }
    prompt.truncate(bytes);
    prompt
}
