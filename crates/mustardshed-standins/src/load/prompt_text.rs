//! Generates the texts of prompts.

use rand::{Rng, SeedableRng};

use crate::{load::arrival, oracle};

/// Alphabet of the texts; 16 letters, so that each takes four random bits.
const LETTERS: &[u8; 16] = b"abcdefghilmnorst";
/// Number of letters taken from a random number of 64 bits.
const LETTERS_PER_DRAW: usize = 16;

/// Returns the text of an arrival's prompt.
pub(super) fn text_of(arrival: &arrival::Arrival) -> String {
    let bytes = (arrival.prompt_tokens * oracle::BYTES_PER_TOKEN) as usize;
    let mut text = String::with_capacity(bytes);
    if let Some(prefix) = arrival.prefix {
        let prefix_bytes = (prefix.tokens * oracle::BYTES_PER_TOKEN) as usize;
        push_letters(&mut text, prefix.text_seed, prefix_bytes);
    }
    push_letters(&mut text, arrival.text_seed, bytes);
    text
}

/// Appends letters until the text has `length` bytes.
fn push_letters(text: &mut String, seed: u64, length: usize) {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    while text.len() < length {
        let mut bits = rng.next_u64();
        let missing = length - text.len();
        for _ in 0..LETTERS_PER_DRAW.min(missing) {
            text.push(char::from(LETTERS[(bits & 15) as usize]));
            bits >>= 4;
        }
    }
}
