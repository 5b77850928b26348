//! Log of cache events, published late and with gaps.

use std::{collections, time};

use serde::Serialize;
use xxhash_rust::xxh3;

use crate::engine::{faults, prefix_cache};

/// Largest number of events kept.
const MAX_EVENTS: usize = 16_384;
/// Largest number of events in a response.
const MAX_PAGE: usize = 4_096;

/// A cache event as published.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    seq: u64,
    kind: prefix_cache::CacheEventKind,
    prefix: String,
    tokens: u64,
}

/// Published events after a sequence number.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEventPage {
    events: Vec<CacheEvent>,
    next: u64,
}

#[derive(Debug)]
struct LoggedChange {
    seq: u64,
    at: time::Duration,
    change: prefix_cache::CacheChange,
}

/// Log of the newest events.
#[derive(Debug, Default)]
pub(super) struct CacheEvents {
    last: u64,
    log: collections::VecDeque<LoggedChange>,
}

impl CacheEvents {
    /// Adds changes of the cache.
    pub(super) fn add(&mut self, now: time::Duration, changes: Vec<prefix_cache::CacheChange>) {
        for change in changes {
            if self.log.len() == MAX_EVENTS {
                self.log.pop_front();
            }
            self.last += 1;
            let seq = self.last;
            let at = now;
            self.log.push_back(LoggedChange { seq, at, change });
        }
    }

    /// Returns the events after `since` that are published by `now`.
    pub(super) fn page(
        &self,
        now: time::Duration,
        since: u64,
        faults: &faults::Faults,
    ) -> CacheEventPage {
        let lag = time::Duration::from_millis(faults.event_lag_ms);
        let published = self.log.iter().filter(|c| c.seq > since);
        let published = published.take_while(|c| c.at + lag <= now);
        let published: Vec<_> = published.take(MAX_PAGE).collect();
        let kept = published
            .iter()
            .filter(|c| !is_lost(c.seq, faults.drop_events_percent));
        CacheEventPage {
            events: kept.map(|c| CacheEvent::from(*c)).collect(),
            next: published.last().map_or(since, |c| c.seq),
        }
    }
}

impl From<&LoggedChange> for CacheEvent {
    fn from(logged: &LoggedChange) -> Self {
        Self {
            seq: logged.seq,
            kind: logged.change.kind,
            prefix: format!("{:016x}", logged.change.prefix),
            tokens: logged.change.tokens,
        }
    }
}

/// Returns whether an event is dropped; all readers miss the same ones.
fn is_lost(seq: u64, percent: u8) -> bool {
    xxh3::xxh3_64(&seq.to_le_bytes()) % 100 < u64::from(percent)
}
