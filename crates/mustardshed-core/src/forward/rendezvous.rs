//! Fixed preferences, the same in every process of one build, that spread choices without agreement.
//!
//! Load pattern that this answers: requests come faster than entries hear of each other's. Entries that
//! know the same old load would all choose the same server, which then has more requests than places;
//! each has preferences of its own instead, the stronger the less it knows.
//!
//! While two builds run side by side their entries may choose unlike relays; leaves then find a relay
//! by trying.

use std::hash::{self, Hash, Hasher};

/// How well an entry knows the work of the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerVisibility {
    /// Most others have not been heard of yet, as after all have lost power.
    Partial,
    /// Others are heard of through relays, some frames after they act.
    ThroughRelays,
    /// Others tell it at once what they do.
    Direct,
}

impl PeerVisibility {
    /// Returns the greatest price by which an entry prefers some servers to others that are as good.
    #[must_use]
    pub const fn max_bias(self) -> f64 {
        match self {
            Self::Partial => 1.2,
            Self::ThroughRelays => 0.8,
            Self::Direct => 0.01,
        }
    }
}

/// Returns a fixed number from 0 to 1 for who chooses and what is chosen, alike for no two pairs.
#[must_use]
pub fn score(chooser: &str, chosen: &str) -> f64 {
    let mut hasher = hash::DefaultHasher::new();
    (chooser, chosen).hash(&mut hasher);
    #[expect(
        clippy::cast_precision_loss,
        reason = "a few digits of the number are enough"
    )]
    let share = (hasher.finish() >> 32) as f64 / f64::from(u32::MAX);
    share
}
