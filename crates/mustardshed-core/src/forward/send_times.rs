//! When the messages that arrive on a link were sent.
//!
//! Messages state ages, which count from the time at which they were sent. They may be read long after
//! that: the VM was suspended, also several times for a short while, or the path was slow. The receipt
//! says nothing of that, and no time-out bounds it. Two things do: a reply shows that whatever
//! follows it was sent after the question, and the sender's heartbeats state its own clock.

use std::time;

use crate::ids;

/// Difference between the receipt and the last answered question up to which a message counts as just
/// sent: questions are asked every 250 ms, and their answers take a while.
const MAX_LAG: time::Duration = time::Duration::from_millis(500);

/// Estimates the times at which the messages of one link were sent, by this entry's clock.
#[derive(Clone, Copy, Debug)]
pub struct SendTimes {
    /// Time before which the other side cannot have sent what arrives now.
    sent_after: ids::Timestamp,
    /// Last heartbeat that was read soon after it was sent.
    reference: Option<Heartbeat>,
    /// Time at which the last heartbeat was sent, as far as that is known.
    heartbeat_sent_at: Option<ids::Timestamp>,
}

/// A heartbeat of the other side.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    received_at: ids::Timestamp,
    /// Time of the sender's clock.
    sender_time: ids::Timestamp,
}

impl SendTimes {
    /// Creates the estimate for a link whose opening began at `opened_at`.
    #[must_use]
    pub const fn new(opened_at: ids::Timestamp) -> Self {
        Self {
            sent_after: opened_at,
            reference: None,
            heartbeat_sent_at: None,
        }
    }

    /// Records that the other side has replied to what this entry sent at `asked_at`.
    pub fn record_reply(&mut self, asked_at: ids::Timestamp) {
        self.sent_after = self.sent_after.max(asked_at);
    }

    /// Records a heartbeat that states the sender's clock.
    pub fn record_heartbeat(&mut self, sender_time: ids::Timestamp, now: ids::Timestamp) {
        if self.is_current(now) {
            self.heartbeat_sent_at = Some(now);
            self.reference = Some(Heartbeat {
                received_at: now,
                sender_time,
            });
            return;
        }
        self.heartbeat_sent_at = self.reference.map(|reference| {
            let since = sender_time.saturating_sub(reference.sender_time);
            reference.received_at.saturating_add(since)
        });
    }

    /// Returns a time before which the other side cannot have sent what arrives now.
    #[must_use]
    pub const fn sent_after(&self) -> ids::Timestamp {
        self.sent_after
    }

    /// Returns about when the other side sent what arrives at `now`.
    #[must_use]
    pub fn sent_at(&self, now: ids::Timestamp) -> ids::Timestamp {
        if self.is_current(now) {
            return now;
        }
        let heartbeat_sent_at = self.heartbeat_sent_at.unwrap_or_default();
        heartbeat_sent_at.max(self.sent_after).min(now)
    }

    fn is_current(&self, now: ids::Timestamp) -> bool {
        now.saturating_sub(self.sent_after) <= MAX_LAG
    }
}
