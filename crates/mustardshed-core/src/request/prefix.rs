//! Which server probably has which prompt prefix in its cache.

use std::{sync::atomic, time};

use xxhash_rust::xxh3;

use crate::ids;

/// Length of the shortest recorded prefix, in tokens; each further one is twice as long.
const FIRST_PREFIX_TOKENS: ids::Tokens = 256;
/// Time after which a prefix is assumed to be evicted.
const MAX_AGE: time::Duration = time::Duration::from_secs(300);
/// Resolution of the times in a slot.
const AGE_UNIT: time::Duration = time::Duration::from_secs(4);
/// Number of bits of a slot that hold its time.
const TIME_BITS: u32 = 16;
/// Number of bits of a slot that hold the server's tag.
const SERVER_BITS: u32 = 24;

/// Hash of one prefix of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHash {
    hash: u64,
    tokens: ids::Tokens,
}

/// Short hash of a server's name and epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerTag(u64);

impl ServerTag {
    /// Makes the tag of a server; it changes when the server turns cold.
    pub fn new(server: &str, epoch: ids::Epoch) -> Self {
        let hash = xxh3::xxh3_64_with_seed(server.as_bytes(), epoch);
        Self(hash & mask(SERVER_BITS))
    }
}

/// Returns the hashes of a prompt's prefixes for a model, the shortest first.
pub fn prefix_hashes(model: &str, prompt: &[u8], bytes_per_token: u32) -> Vec<PrefixHash> {
    let bytes_per_token = ids::Tokens::from(bytes_per_token.max(1));
    let mut hasher = xxh3::Xxh3::with_seed(xxh3::xxh3_64(model.as_bytes()));
    let mut hashes = Vec::new();
    let mut rest = prompt;
    let mut hashed = 0;
    let mut tokens = FIRST_PREFIX_TOKENS;
    loop {
        let wanted = usize::try_from(tokens * bytes_per_token).unwrap_or(usize::MAX);
        let Some((prefix, after)) = rest.split_at_checked(wanted - hashed) else {
            return hashes;
        };
        hasher.update(prefix);
        hashes.push(PrefixHash {
            hash: hasher.digest(),
            tokens,
        });
        rest = after;
        hashed = wanted;
        tokens *= 2;
    }
}

/// Lock-free table of the server to which each prefix was sent last.
///
/// A slot holds a part of the prefix's hash, the server's tag and the time. A prefix is overwritten
/// by another one with the same slot, and a wrong entry costs no more than a longer prefill.
#[derive(Debug)]
pub struct Table {
    slots: Box<[atomic::AtomicU64]>,
}

impl Table {
    /// Makes a table with `slots` slots, rounded up to a power of two.
    pub fn new(slots: usize) -> Self {
        let slots = slots.next_power_of_two();
        Self {
            slots: (0..slots).map(|_| atomic::AtomicU64::new(0)).collect(),
        }
    }

    /// Records that a server prefilled a prompt with these prefixes.
    pub fn insert(&self, hashes: &[PrefixHash], server: ServerTag, now: ids::Timestamp) {
        for prefix in hashes {
            let value = tag(prefix) | server.0 << TIME_BITS | time_of(now);
            if let Some(slot) = self.slot(prefix) {
                slot.store(value, atomic::Ordering::Relaxed);
            }
        }
    }

    /// Returns the server to which the longest known prefix was sent last, and the length of that
    /// prefix in tokens.
    pub fn find(
        &self,
        hashes: &[PrefixHash],
        now: ids::Timestamp,
    ) -> Option<(ServerTag, ids::Tokens)> {
        hashes.iter().rev().find_map(|prefix| {
            let value = self.slot(prefix)?.load(atomic::Ordering::Relaxed);
            let is_known =
                value >> (TIME_BITS + SERVER_BITS) == tag(prefix) >> (TIME_BITS + SERVER_BITS);
            let server = ServerTag(value >> TIME_BITS & mask(SERVER_BITS));
            (value != 0 && is_known && is_recent(value, now)).then_some((server, prefix.tokens))
        })
    }

    fn slot(&self, prefix: &PrefixHash) -> Option<&atomic::AtomicU64> {
        let index = prefix.hash & (self.slots.len() as u64 - 1);
        self.slots.get(usize::try_from(index).ok()?)
    }
}

const fn mask(bits: u32) -> u64 {
    (1 << bits) - 1
}

/// Returns the part of the hash that a slot holds, in its position.
const fn tag(prefix: &PrefixHash) -> u64 {
    prefix.hash & !mask(TIME_BITS + SERVER_BITS)
}

const fn time_of(now: ids::Timestamp) -> u64 {
    (now.as_secs() / AGE_UNIT.as_secs()) & mask(TIME_BITS)
}

const fn is_recent(value: u64, now: ids::Timestamp) -> bool {
    let age = time_of(now).wrapping_sub(value & mask(TIME_BITS)) & mask(TIME_BITS);
    age * AGE_UNIT.as_secs() <= MAX_AGE.as_secs()
}
