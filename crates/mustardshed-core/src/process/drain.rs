//! Planned stop of an entry: how long it still accepts, and when it may end.
//!
//! Callers keep the list of entries for [`LIST_TTL`], and an entry that has not heard that this one
//! leaves goes on naming it for [`PROPAGATION_TIME`] at most. Until both have passed, callers may
//! come; after that, what runs is finished.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_core::process::drain;
//!
//! let drain = drain::Drain::begin(time::Duration::ZERO);
//! assert!(drain.accepts(drain::LIST_TTL));
//! assert!(!drain.may_exit(drain::LIST_TTL, 0));
//! ```

use std::time;

use crate::{ids, mutation, process::members};

/// Time for which callers may keep a list of entries.
pub const LIST_TTL: time::Duration = time::Duration::from_secs(10);
/// Time after which every entry knows that this one leaves, or takes it for dead.
pub const PROPAGATION_TIME: time::Duration = members::DEAD_AFTER;

/// The planned stop of one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    begun_at: ids::Timestamp,
}

impl Drain {
    /// Begins a planned stop, at the moment from which the entry says that it leaves.
    pub const fn begin(now: ids::Timestamp) -> Self {
        Self { begun_at: now }
    }

    /// Returns whether new requests are still accepted.
    pub fn accepts(&self, now: ids::Timestamp) -> bool {
        let kept = if mutation::on("kept_lists_forgotten") {
            time::Duration::ZERO
        } else {
            LIST_TTL
        };
        now < self.begun_at + PROPAGATION_TIME + kept
    }

    /// Returns whether the entry may end, with so many requests in flight.
    pub fn may_exit(&self, now: ids::Timestamp, in_flight: usize) -> bool {
        let is_done = in_flight == 0 || mutation::on("in_flight_ignored");
        is_done && !self.accepts(now)
    }
}
