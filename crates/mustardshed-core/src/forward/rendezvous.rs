//! Rendezvous hashing: scores that spread choices without coordination.
//!
//! Scores are the same in every process of one build. Load pattern addressed: requests come faster
//! than entries hear of each other's. Entries with the same outdated load would all choose the same
//! server and send it more requests than it has slots. Instead each prefers different servers, the
//! more strongly the less it knows.
//!
//! While two builds run side by side, their entries may choose different relays; leaves then find a
//! relay by trying.

use std::hash::{self, Hash, Hasher};

/// How well an entry knows the work of the others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerVisibility {
    /// Most others have not been heard of yet, as after a power failure of the whole fleet.
    Partial,
    /// Others are heard of through relays, several frames after they act.
    ThroughRelays,
    /// Others report directly and at once.
    Direct,
}

impl PeerVisibility {
    /// Returns the greatest cost that an entry adds to servers that it does not prefer.
    #[must_use]
    pub const fn max_bias(self) -> f64 {
        match self {
            Self::Partial => 1.2,
            Self::ThroughRelays => 0.8,
            Self::Direct => 0.01,
        }
    }
}

/// Returns a fixed score from 0 to 1 for a pair of who chooses and what is chosen; it differs from
/// pair to pair.
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
