//! Intents: configurations that an operator is about to write.
//!
//! The data centres that an intent takes out of service get no new work even before it is known
//! whether the platform accepted the write. An intent ends when a record of its generation or a
//! later one is known, or when a platform read that began [`ABANDONED_AFTER`] after its receipt
//! still shows an older generation: its writer has given up by then. Ended intents are remembered,
//! so that entries do not pass them to each other for ever.

use std::{collections, time};

use crate::{ids, version::record};

/// Time after which the writer of an intent that the platform does not show has given up.
pub const ABANDONED_AFTER: time::Duration = time::Duration::from_secs(60);
/// Maximum number of intents held at once.
pub const MAX_INTENTS: usize = 8;

/// Maximum number of ended intents that are remembered.
const MAX_ENDED: usize = 64;

#[derive(Clone, Debug)]
struct Held {
    record: record::Record,
    received_at: ids::Timestamp,
}

/// Intents of this entry.
#[derive(Debug, Default)]
pub struct Intents {
    held: Vec<Held>,
    ended: collections::VecDeque<(ids::Generation, String)>,
}

impl Intents {
    /// Adds an intent without its text, unless it is held or has ended; returns `false` if too many
    /// intents are held.
    pub fn insert(&mut self, record: &record::Record, now: ids::Timestamp) -> bool {
        if self.held.iter().any(|held| is_same(&held.record, record)) {
            return true;
        }
        let key = (record.generation, record.nonce.clone());
        if self.ended.contains(&key) {
            return true;
        }
        if self.held.len() >= MAX_INTENTS {
            return false;
        }
        let mut record = record.clone();
        record.text.clear();
        self.held.push(Held {
            record,
            received_at: now,
        });
        true
    }

    /// Ends the intents up to an accepted generation.
    pub fn end_through(&mut self, generation: ids::Generation) {
        self.end(|held| held.record.generation <= generation);
    }

    /// Ends the intents that a platform read shows to be abandoned.
    pub fn end_abandoned(&mut self, begun_at: ids::Timestamp, shown: ids::Generation) {
        self.end(|held| {
            held.record.generation > shown && begun_at >= held.received_at + ABANDONED_AFTER
        });
    }

    /// Returns the intents, without their texts.
    pub fn records(&self) -> impl Iterator<Item = &record::Record> {
        self.held.iter().map(|held| &held.record)
    }

    fn end(&mut self, is_over: impl Fn(&Held) -> bool) {
        let (over, held) = self.held.drain(..).partition(is_over);
        self.held = held;
        let over: Vec<Held> = over;
        for held in over {
            self.ended
                .push_back((held.record.generation, held.record.nonce));
        }
        while self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
    }
}

fn is_same(a: &record::Record, b: &record::Record) -> bool {
    a.generation == b.generation && a.nonce == b.nonce
}
