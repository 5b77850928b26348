//! Lease of the one entry that sends orders to engines.
//!
//! The lease is one platform object, acquired and renewed by conditional update. The holder counts
//! its term from the start of its write, which is earlier than the time from which others count.
//!
//! - Another entry acquires the lease once it has seen the same version for [`LEASE_DURATION`].
//! - The holder sends orders until `CLOCK_MARGIN` before the end of its lease, and after a pause
//!   of its process only once it has renewed the lease.
//! - A new holder waits for [`ORDER_TIMEOUT`], in which the last call of the previous holder ends.
//! - If the response to a write is lost, the object is read back: holder and nonce tell whether the
//!   write took effect, and so from when the term counts.

use std::{collections, time};

use crate::{
    boundary::platform,
    ids, mutation,
    process::placement::{action, record},
};

/// Term of the lease, from the start of the write that acquired or renewed it.
pub const LEASE_DURATION: time::Duration = time::Duration::from_secs(10);
/// Timeout of the call that sends an order.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Time before the end of the term at which the holder stops, as clocks run at different rates.
const CLOCK_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Interval between two renewals.
const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// Interval between two reads by an entry that waits for the lease.
const READ_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// Wait after a failed call.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval between two ticks beyond which the process counts as paused.
const PAUSED_AFTER: time::Duration = time::Duration::from_secs(1);

/// The lease object as last read or written.
#[derive(Clone, Debug)]
struct Seen {
    version: ids::ObjectVersion,
    record: record::Record,
    since: ids::Timestamp,
}

/// A write of this entry that may have taken effect.
#[derive(Clone, Debug)]
struct Write {
    record: record::Record,
    begun_at: ids::Timestamp,
}

/// The lease while this entry holds it.
#[derive(Clone, Debug)]
pub struct Held {
    /// Fencing number.
    pub fence: ids::FencingNumber,
    /// Time at which this entry learned that it had acquired the lease.
    pub since: ids::Timestamp,
    /// Weight loads that the object records.
    pub recorded: Vec<record::WeightLoad>,
    confirmed_at: ids::Timestamp,
}

/// The lease in the view of one entry.
#[derive(Debug)]
pub struct Lease {
    own: String,
    seen: Option<Seen>,
    held: Option<Held>,
    writes: collections::BTreeMap<u64, Write>,
    nonce: u64,
    greatest_fence: ids::FencingNumber,
    is_calling: bool,
    /// Whether the object must be read before it is written again.
    must_read: bool,
    /// Lowest version that a read may show; a lower one is stale.
    min_version: ids::ObjectVersion,
    /// Time from which the next call to the platform may start.
    next_call_at: ids::Timestamp,
    ticked_at: ids::Timestamp,
    /// End of the latest pause of the process; a lease confirmed before it must be renewed.
    resumed_at: ids::Timestamp,
}

impl Lease {
    /// Creates the view of the entry `own`, a `VM.INCARNATION`, that has not read the object yet.
    pub const fn new(own: String, now: ids::Timestamp) -> Self {
        Self {
            own,
            seen: None,
            held: None,
            writes: collections::BTreeMap::new(),
            nonce: 0,
            greatest_fence: 0,
            is_calling: false,
            must_read: true,
            min_version: 0,
            next_call_at: now,
            ticked_at: now,
            resumed_at: now,
        }
    }

    /// Returns the lease if this entry holds it, even if its term may be over.
    pub const fn held(&self) -> Option<&Held> {
        self.held.as_ref()
    }

    /// Returns the time until which orders may be sent; zero if none may be sent.
    pub fn may_order_until(&self) -> ids::Timestamp {
        let Some(held) = &self.held else {
            return time::Duration::ZERO;
        };
        if held.confirmed_at < self.resumed_at && !mutation::on("pause_unnoticed") {
            return time::Duration::ZERO;
        }
        if mutation::on("lease_without_end") {
            return time::Duration::MAX;
        }
        held.confirmed_at + LEASE_DURATION - CLOCK_MARGIN
    }

    /// Returns the time from which orders may be sent; the maximum if the lease is not held.
    pub fn may_order_from(&self) -> ids::Timestamp {
        let Some(held) = &self.held else {
            return time::Duration::MAX;
        };
        if mutation::on("last_call_not_awaited") {
            return held.since;
        }
        held.since + ORDER_TIMEOUT
    }

    /// Records the time, and a pause of the process if the latest tick is too long ago.
    pub fn tick(&mut self, now: ids::Timestamp) {
        if now.saturating_sub(self.ticked_at) > PAUSED_AFTER {
            self.resumed_at = now;
            self.next_call_at = now;
        }
        self.ticked_at = now;
    }

    /// Returns the next call to the platform, if one is due; a holder writes `loads` to the object.
    pub fn poll(
        &mut self,
        is_candidate: bool,
        loads: &[record::WeightLoad],
        now: ids::Timestamp,
    ) -> Option<action::Action> {
        if !is_candidate {
            self.held = None;
            return None;
        }
        if self.is_calling {
            return None;
        }
        let Some(seen) = self.seen.clone().filter(|_| !self.must_read) else {
            return self.read(now);
        };
        let Some(held) = &self.held else {
            if is_expired(&seen, now) {
                let fence = if mutation::on("fence_not_raised") {
                    self.greatest_fence.max(1)
                } else {
                    self.greatest_fence + 1
                };
                return self.write(&seen, fence, seen.record.loads.clone(), now);
            }
            return self.read(now);
        };
        let is_due = now >= held.confirmed_at + RENEW_INTERVAL || held.recorded != loads;
        let fence = held.fence;
        is_due
            .then(|| self.write(&seen, fence, loads.to_vec(), now))
            .flatten()
    }

    /// Handles the result of a read.
    pub fn on_read(
        &mut self,
        result: Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError>,
        now: ids::Timestamp,
    ) {
        self.is_calling = false;
        let Ok(object) = result else {
            self.next_call_at = now + RETRY_INTERVAL;
            return;
        };
        let (version, record) = object.unwrap_or_default();
        if version < self.min_version {
            // A stale read.
            self.next_call_at = now + RETRY_INTERVAL;
            return;
        }
        self.must_read = false;
        self.observe(version, record, now);
        self.next_call_at = if self.held.is_some() {
            now
        } else {
            now + READ_INTERVAL
        };
    }

    /// Handles the result of a write.
    pub fn on_write(
        &mut self,
        nonce: u64,
        result: Result<ids::ObjectVersion, platform::PlatformError>,
        now: ids::Timestamp,
    ) {
        self.is_calling = false;
        self.next_call_at = now + RETRY_INTERVAL;
        match result {
            Ok(version) => self.hold(version, nonce, now),
            Err(platform::PlatformError::Conflict(version)) => {
                self.held = None;
                self.min_version = self.min_version.max(version);
                self.must_read = true;
                self.next_call_at = now;
            }
            Err(platform::PlatformError::Refused(_)) => {
                self.writes.remove(&nonce);
            }
            Err(platform::PlatformError::Unanswered(_)) => {
                self.must_read = true;
                if mutation::on("lost_renewal_is_done") {
                    let version = self.seen.as_ref().map_or(0, |seen| seen.version);
                    self.hold(version, nonce, now);
                }
            }
        }
    }

    /// Applies the object that was read; it may be a write of this entry whose response was lost.
    fn observe(
        &mut self,
        version: ids::ObjectVersion,
        record: record::Record,
        now: ids::Timestamp,
    ) {
        if self.seen.as_ref().map(|seen| seen.version) == Some(version) {
            return;
        }
        self.greatest_fence = self.greatest_fence.max(record.fence);
        if record.holder == self.own && self.writes.contains_key(&record.nonce) {
            self.hold(version, record.nonce, now);
            return;
        }
        self.held = None;
        self.writes.clear();
        self.min_version = self.min_version.max(version);
        self.seen = Some(Seen {
            version,
            record,
            since: now,
        });
    }

    /// Records that a write of this entry took effect.
    fn hold(&mut self, version: ids::ObjectVersion, nonce: u64, now: ids::Timestamp) {
        let Some(write) = self.writes.remove(&nonce) else {
            return;
        };
        // Other writes were conditional on earlier versions and can no longer take effect.
        self.writes.clear();
        self.min_version = self.min_version.max(version);
        let fence = write.record.fence;
        self.greatest_fence = self.greatest_fence.max(fence);
        let previous = self.held.as_ref().filter(|held| held.fence == fence);
        self.held = Some(Held {
            fence,
            since: previous.map_or(now, |held| held.since),
            recorded: write.record.loads.clone(),
            confirmed_at: write.begun_at,
        });
        self.seen = Some(Seen {
            version,
            record: write.record,
            since: now,
        });
    }

    fn read(&mut self, now: ids::Timestamp) -> Option<action::Action> {
        if now < self.next_call_at {
            return None;
        }
        self.is_calling = true;
        Some(action::Action::ReadLease)
    }

    fn write(
        &mut self,
        seen: &Seen,
        fence: ids::FencingNumber,
        loads: Vec<record::WeightLoad>,
        now: ids::Timestamp,
    ) -> Option<action::Action> {
        let is_acquiring = self.held.is_none();
        if now < self.next_call_at && !is_acquiring {
            return None;
        }
        self.nonce += 1;
        let record = record::Record {
            holder: self.own.clone(),
            fence,
            nonce: self.nonce,
            loads,
        };
        let write = Write {
            record: record.clone(),
            begun_at: now,
        };
        self.writes.insert(self.nonce, write);
        self.is_calling = true;
        Some(action::Action::WriteLease {
            expected: seen.version,
            record,
        })
    }
}

/// Returns whether no entry can hold the lease any more.
fn is_expired(seen: &Seen, now: ids::Timestamp) -> bool {
    seen.version == 0 || now >= seen.since + LEASE_DURATION
}
