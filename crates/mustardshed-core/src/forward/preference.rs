//! Fixed preferences, the same in every process of one build, that spread choices without agreement.
//!
//! While two builds run side by side their entries may choose unlike relays; leaves then find a relay
//! by trying.

use std::hash::{self, Hash, Hasher};

/// Returns a fixed number from 0 to 1 for who chooses and what is chosen, alike for no two pairs.
#[must_use]
pub fn of(chooser: &str, chosen: &str) -> f64 {
    let mut hasher = hash::DefaultHasher::new();
    (chooser, chosen).hash(&mut hasher);
    #[expect(
        clippy::cast_precision_loss,
        reason = "a few digits of the number are enough"
    )]
    let share = (hasher.finish() >> 32) as f64 / f64::from(u32::MAX);
    share
}
