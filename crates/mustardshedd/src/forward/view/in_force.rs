//! The configuration in force, and as of when it is known to be the latest one.

use std::{sync, time};

use mustardshed::core::{forward::routes, ids, version::confirmation};

/// The configuration in force.
///
/// It may be older than what was last read of the platform, as a version that cannot be decoded
/// does not come into force. It is then no longer confirmed, however recently it was read.
#[derive(Debug, Default)]
pub(super) struct InForce {
    pub(super) routes: sync::Arc<routes::Routes>,
    confirmation: confirmation::Confirmation,
    /// Whether the version that was last read could not be decoded.
    is_superseded: bool,
}

impl InForce {
    /// Puts routes into force that were decoded from what was last read.
    pub(super) fn replace(&mut self, routes: routes::Routes) {
        self.routes = sync::Arc::new(routes);
        self.is_superseded = false;
    }

    /// Records that what was last read holds no later version.
    pub(super) const fn keep(&mut self) {
        self.is_superseded = false;
    }

    /// Records that the version that was last read cannot be decoded.
    pub(super) const fn supersede(&mut self) {
        self.is_superseded = true;
    }

    /// Returns whether a version that cannot be decoded has replaced the one in force.
    pub(super) const fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Takes over the confirmation of what was last read, unless that could not be decoded.
    pub(super) const fn confirm(&mut self, last_read: confirmation::Confirmation) {
        if !self.is_superseded {
            self.confirmation = last_read;
        }
    }

    /// Returns the time since the configuration in force was known to be the latest; none if it
    /// never was.
    pub(super) fn age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        self.confirmation.age(now)
    }

    /// Returns whether the configuration in force was known to be the latest within the last
    /// `limit`.
    pub(super) fn is_fresh(&self, limit: time::Duration, now: ids::Timestamp) -> bool {
        self.confirmation.is_within(limit, now)
    }
}
