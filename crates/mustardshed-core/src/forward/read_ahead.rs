//! Whether the events of a stream are read ahead of a client that reads slowly.
//!
//! Load pattern addressed: clients that read slowly or stop reading. A server holds a slot until its
//! response has been read, and cuts off responses that stay unread for some seconds.

use std::time;

use crate::ids;

/// Memory asked for before an event of unknown size is read, in bytes; most events are smaller.
pub const NEXT_EVENT_BYTES: usize = 4 * 1024;
/// Memory counted for each event on top of its bytes: its place in the queue and its allocation.
pub const OVERHEAD_BYTES: usize = 256;
/// Time without an event taken after which a client counts as slow.
pub const SLOW_AFTER: time::Duration = time::Duration::from_secs(1);
/// Interval at which memory that was refused is asked for again.
pub const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// What to do for a stream whose client does not take events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Read the next event if the memory budget grants this many bytes to the stream in all.
    Read {
        /// Bytes that the stream must hold before the event is read.
        bytes: usize,
    },
    /// The client waits for the next event, so that it is not read ahead.
    ClientWaits,
    /// As much is held as the stream may.
    LimitReached,
    /// The server has sent everything.
    Ended,
}

/// The state of reading one stream.
#[derive(Clone, Copy, Debug)]
pub struct ReadAhead {
    limit: usize,
    held: usize,
    has_ended: bool,
    /// Since when the client has taken nothing; none while it waits for an event.
    paused_since: Option<ids::Timestamp>,
}

impl ReadAhead {
    /// Creates the state of a stream for which up to `limit` bytes are held.
    #[must_use]
    pub const fn new(limit: usize, now: ids::Timestamp) -> Self {
        Self {
            limit,
            held: 0,
            has_ended: false,
            paused_since: Some(now),
        }
    }

    /// Returns the bytes counted for the events that the client has not taken.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Decides whether another event is read ahead.
    #[must_use]
    pub const fn decide(&self) -> Decision {
        if self.has_ended {
            Decision::Ended
        } else if self.paused_since.is_none() {
            Decision::ClientWaits
        } else if self.held >= self.limit {
            Decision::LimitReached
        } else {
            let bytes = self.held.saturating_add(NEXT_EVENT_BYTES);
            Decision::Read { bytes }
        }
    }

    /// Records an event of `bytes` bytes that is held for the client.
    pub const fn record_held(&mut self, bytes: usize) {
        let counted = bytes.saturating_add(OVERHEAD_BYTES);
        self.held = self.held.saturating_add(counted);
    }

    /// Records that the client has taken a held event of `bytes` bytes.
    pub const fn record_taken(&mut self, bytes: usize, now: ids::Timestamp) {
        let counted = bytes.saturating_add(OVERHEAD_BYTES);
        self.held = self.held.saturating_sub(counted);
        self.paused_since = Some(now);
    }

    /// Records that the client has taken an event that was not held.
    pub const fn record_passed_on(&mut self, now: ids::Timestamp) {
        self.paused_since = Some(now);
    }

    /// Records that the client has taken everything and waits for the next event.
    pub const fn record_client_waits(&mut self) {
        self.paused_since = None;
    }

    /// Records that the server has sent everything.
    pub const fn record_end(&mut self) {
        self.has_ended = true;
    }

    /// Returns how long it takes until the client counts as slow unless it takes an event before,
    /// zero if it does already; none while it waits for an event.
    #[must_use]
    pub fn slow_in(&self, now: ids::Timestamp) -> Option<time::Duration> {
        let paused = now.saturating_sub(self.paused_since?);
        Some(SLOW_AFTER.saturating_sub(paused))
    }
}
