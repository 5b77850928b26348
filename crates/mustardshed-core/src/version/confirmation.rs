//! Time as of which an object of the platform, such as the configuration, is known to be current.
//!
//! A platform read confirms as of its beginning. A peer with the same version confirms as of the
//! time at which it was queried, minus the age of its own confirmation. All times are of a clock
//! that keeps running while the process is suspended, so that a process that was suspended finds
//! its confirmation old.

use std::time;

use crate::ids;

/// Latest confirmation that one object of the platform is current.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    at: Option<ids::Timestamp>,
}

impl Confirmation {
    /// Records a confirmation as of a time; an older one than the latest changes nothing.
    pub fn confirm(&mut self, at: ids::Timestamp) {
        self.at = self.at.max(Some(at));
    }

    /// Returns the time as of which the object is confirmed; `None` if it never was.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<ids::Timestamp> {
        self.at
    }

    /// Returns the age of the confirmation; `None` if there never was one.
    #[must_use]
    pub fn age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether there is a confirmation no older than `limit`.
    #[must_use]
    pub fn is_within(&self, limit: time::Duration, now: ids::Timestamp) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
