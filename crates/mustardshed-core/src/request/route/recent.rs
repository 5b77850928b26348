//! Load that an entry has routed since its snapshot was taken.
//!
//! Requests that are routed by the same snapshot see the same loads. Without this table they would
//! all choose the same idle server.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_core::request::route::recent;
//!
//! let table = recent::RecentRoutes::new(64);
//! let taken_at = time::Duration::from_secs(5);
//! table.add("runner-1", taken_at, 4_000);
//! assert_eq!(table.since("runner-1", taken_at).prefill_tokens, 4_000);
//! let next = taken_at + time::Duration::from_millis(10);
//! assert_eq!(table.since("runner-1", next).prefill_tokens, 0);
//! ```

use std::sync::atomic;

use xxhash_rust::xxh3;

use crate::ids;

/// Number of bits of a slot that hold prompt tokens.
const TOKEN_BITS: u32 = 28;
/// Number of bits of a slot that hold the number of requests.
const COUNT_BITS: u32 = 12;

/// Load that was routed to one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoutedLoad {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens to prefill.
    pub prefill_tokens: ids::Tokens,
}

/// Lock-free table of the load that was routed to each server since a snapshot.
///
/// A slot holds the snapshot's time in milliseconds, the number of requests and their tokens.
/// Servers that share a slot count as one, which spreads work slightly more than necessary.
#[derive(Debug)]
pub struct RecentRoutes {
    slots: Box<[atomic::AtomicU64]>,
}

impl RecentRoutes {
    /// Makes a table with `slots` slots, rounded up to a power of two.
    pub fn new(slots: usize) -> Self {
        let slots = slots.next_power_of_two();
        Self {
            slots: (0..slots).map(|_| atomic::AtomicU64::new(0)).collect(),
        }
    }

    /// Adds a request that was routed by the snapshot taken at `taken_at`.
    pub fn add(&self, server: &str, taken_at: ids::Timestamp, prefill_tokens: ids::Tokens) {
        let Some(slot) = self.slot(server) else {
            return;
        };
        let add = |held: u64| {
            let load = unpack(held, taken_at);
            let requests = u64::from(load.requests + 1).min(mask(COUNT_BITS));
            let tokens = (load.prefill_tokens + prefill_tokens).min(mask(TOKEN_BITS));
            Some(snapshot_bits(taken_at) | requests << TOKEN_BITS | tokens)
        };
        let order = atomic::Ordering::Relaxed;
        // The closure always returns a value.
        let _ = slot.fetch_update(order, order, add);
    }

    /// Returns the load that was routed to a server by the snapshot taken at `taken_at`.
    pub fn since(&self, server: &str, taken_at: ids::Timestamp) -> RoutedLoad {
        let held = self
            .slot(server)
            .map(|slot| slot.load(atomic::Ordering::Relaxed));
        unpack(held.unwrap_or_default(), taken_at)
    }

    fn slot(&self, server: &str) -> Option<&atomic::AtomicU64> {
        let index = xxh3::xxh3_64(server.as_bytes()) & (self.slots.len() as u64 - 1);
        self.slots.get(usize::try_from(index).ok()?)
    }
}

/// Returns the load in a slot, or none if it is of another snapshot.
fn unpack(held: u64, taken_at: ids::Timestamp) -> RoutedLoad {
    if held & !mask(TOKEN_BITS + COUNT_BITS) != snapshot_bits(taken_at) {
        return RoutedLoad::default();
    }
    let requests = held >> TOKEN_BITS & mask(COUNT_BITS);
    RoutedLoad {
        requests: u32::try_from(requests).unwrap_or(u32::MAX),
        prefill_tokens: held & mask(TOKEN_BITS),
    }
}

/// Returns the bits of a slot that identify the snapshot.
const fn snapshot_bits(taken_at: ids::Timestamp) -> u64 {
    (taken_at.as_millis() as u64) << (TOKEN_BITS + COUNT_BITS)
}

const fn mask(bits: u32) -> u64 {
    (1 << bits) - 1
}
