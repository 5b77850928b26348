//! Up to which time the configuration in force is known to be the newest.
//!
//! A read of the platform confirms as of its beginning. A peer with the same version confirms as of
//! the time at which it was asked, less the age of its own confirmation. All times are of a clock
//! that goes on while the process is suspended, so that a process that was frozen finds its
//! confirmation old.

use std::time;

use crate::ids;

/// Confirmation of one thing that the platform keeps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    at: Option<ids::Timestamp>,
}

impl Confirmation {
    /// Takes a confirmation as of a time.
    pub fn confirm(&mut self, at: ids::Timestamp) {
        self.at = self.at.max(Some(at));
    }

    /// Returns as of when it is, or none if there never was one.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<ids::Timestamp> {
        self.at
    }

    /// Returns its age, or none if there never was one.
    #[must_use]
    pub fn age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether there is one that is no older than `limit`.
    #[must_use]
    pub fn is_within(&self, limit: time::Duration, now: ids::Timestamp) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
