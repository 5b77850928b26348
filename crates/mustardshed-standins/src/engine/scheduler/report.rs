//! Load reports of an engine.

use std::collections;

use serde::Serialize;

use crate::engine::scheduler;

/// One request or reservation that holds memory.
#[derive(Clone, Debug, Serialize)]
pub struct HeldEntry {
    /// Identifier of the request.
    pub id: String,
    /// KV memory in tokens.
    pub tokens: u64,
    /// Whether it is a reservation.
    pub reservation: bool,
}

/// Load of an engine at one time.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSnapshot {
    /// Number of the warm period.
    pub epoch: u64,
    /// Whether the engine is cold or warm.
    pub warmth: scheduler::Warmth,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// KV memory in tokens.
    pub memory_tokens: u64,
    /// KV memory held by requests and reservations, in tokens.
    pub used_tokens: u64,
    /// Prompt tokens that wait for prefill.
    pub queued_prefill_tokens: u64,
    /// Requests that are running.
    pub running: usize,
    /// Models that are loaded, each with its version.
    pub models: collections::BTreeMap<String, String>,
    /// Requests and reservations that hold memory.
    pub held: Vec<HeldEntry>,
}

impl scheduler::Scheduler {
    /// Returns the current load.
    pub fn load(&self) -> LoadSnapshot {
        let queued = self.prefill.iter().filter_map(|(_, n)| self.jobs.get(n));
        LoadSnapshot {
            epoch: self.epoch,
            warmth: self.warmth,
            leaving: self.faults.leaving,
            memory_tokens: self.memory.capacity(),
            used_tokens: self.memory.used(),
            queued_prefill_tokens: queued.map(|job| job.prefill_left).sum(),
            running: self.running.len(),
            models: self.models.clone(),
            held: self.held_entries(),
        }
    }

    fn held_entries(&self) -> Vec<HeldEntry> {
        let holds = self.memory.holds().map(|held| entry(held, false));
        let reservations = self.memory.reservations().map(|held| entry(held, true));
        holds.chain(reservations).collect()
    }
}

fn entry((id, tokens): (&String, u64), reservation: bool) -> HeldEntry {
    HeldEntry {
        id: id.clone(),
        tokens,
        reservation,
    }
}
