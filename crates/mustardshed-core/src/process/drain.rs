//! Planned stop of an entry: how long it accepts new requests, and when its process may exit.
//!
//! Callers cache the list of entries for [`LIST_TTL`], and an entry that has not yet heard that
//! this one is leaving goes on listing it for at most [`PROPAGATION_TIME`]. Until both have passed,
//! new requests may arrive and are accepted; after that, only the requests in flight are finished.
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

/// Time for which callers may cache a list of entries.
pub const LIST_TTL: time::Duration = time::Duration::from_secs(10);
/// Time after which every entry knows that this one is leaving, or considers it dead.
pub const PROPAGATION_TIME: time::Duration = members::DEAD_AFTER;

/// The planned stop of one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Drain {
    begun_at: ids::Timestamp,
}

impl Drain {
    /// Begins a planned stop at `now`, when the entry first announces that it is leaving.
    pub const fn begin(now: ids::Timestamp) -> Self {
        Self { begun_at: now }
    }

    /// Returns whether new requests are still accepted.
    pub fn accepts(&self, now: ids::Timestamp) -> bool {
        let list_ttl = if mutation::on("kept_lists_forgotten") {
            time::Duration::ZERO
        } else {
            LIST_TTL
        };
        now < self.begun_at + PROPAGATION_TIME + list_ttl
    }

    /// Returns whether the process may exit while `in_flight` requests are being carried.
    pub fn may_exit(&self, now: ids::Timestamp, in_flight: usize) -> bool {
        let is_done = in_flight == 0 || mutation::on("in_flight_ignored");
        is_done && !self.accepts(now)
    }
}
