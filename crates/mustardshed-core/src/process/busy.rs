//! Load of this entry, in coarse levels.
//!
//! The level rises as soon as another tenth of the request slots is in use, and falls only half a
//! tenth below that, so that a load at the boundary between two levels is published once.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_core::process::busy;
//!
//! let mut busy = busy::Busy::default();
//! busy.observe(5, 10);
//! assert_eq!(busy.take_due(time::Duration::ZERO), Some(5));
//! assert_eq!(busy.take_due(time::Duration::ZERO), None);
//! ```

use std::time;

use crate::ids;

/// Level of an entry without a free slot.
pub const MAX_LEVEL: ids::BusyLevel = 10;
/// Age at which a level other than zero is published again, before other entries forget it.
const REPUBLISH_INTERVAL: time::Duration = time::Duration::from_secs(20);

/// Busy level of this entry, and the one last published.
#[derive(Debug, Default)]
pub struct Busy {
    level: ids::BusyLevel,
    published: ids::BusyLevel,
    published_at: ids::Timestamp,
}

impl Busy {
    /// Updates the level from the number of requests in flight and the number of slots.
    pub fn observe(&mut self, requests: usize, slots: usize) {
        let half_levels = requests.saturating_mul(2 * usize::from(MAX_LEVEL)) / slots.max(1);
        let level = usize::from(self.level);
        let is_within = half_levels < 2 * level + 2 && half_levels + 1 >= 2 * level;
        if !is_within {
            let latest = u8::try_from(half_levels / 2).unwrap_or(MAX_LEVEL);
            self.level = latest.min(MAX_LEVEL);
        }
    }

    /// Returns the level if it must be published now, and counts it as published.
    pub fn take_due(&mut self, now: ids::Timestamp) -> Option<ids::BusyLevel> {
        let is_old = now.saturating_sub(self.published_at) >= REPUBLISH_INTERVAL;
        let is_due = self.level != self.published || (self.level > 0 && is_old);
        if !is_due {
            return None;
        }
        self.published = self.level;
        self.published_at = now;
        Some(self.level)
    }
}
