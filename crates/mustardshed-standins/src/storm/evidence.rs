//! Input of the checks.

use std::collections;

use super::{attempt, entry_log, fault, note, records, stop, timeline};

/// One run of an entry's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryRun {
    /// VM of the entry.
    pub vm: String,
    /// Generations that came into force, in their order.
    pub in_force: Vec<entry_log::InForce>,
}

/// Input of the checks.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Records of the stand-ins.
    pub records: records::Records,
    /// Completions as their callers saw them.
    pub completions: Vec<note::Completion>,
    /// Charges as their callers saw them.
    pub charges: Vec<note::Charge>,
    /// Fates that were queried.
    pub fates: Vec<note::Fate>,
    /// Intervals of the faults.
    pub spans: Vec<timeline::Span>,
    /// Planned stops.
    pub stops: Vec<stop::Stop>,
    /// Runs of the entries, in their order for each VM.
    pub runs: Vec<EntryRun>,
    /// Names of the VMs by the entries' base URLs.
    pub vms: collections::BTreeMap<String, String>,
    /// Data centres of the backend servers.
    pub data_centres: collections::BTreeMap<String, String>,
    /// Concurrency limits of backend servers while cold, by name.
    pub cold_limits: collections::BTreeMap<String, u64>,
    /// When the storm began and when its load had ended, in Unix milliseconds.
    pub storm_ms: (u64, u64),
}

impl Evidence {
    /// Returns all calls of all callers.
    pub fn attempts(&self) -> impl Iterator<Item = &attempt::Attempt> {
        let completions = self.completions.iter().flat_map(|c| &c.attempts);
        let charges = self.charges.iter();
        completions.chain(charges.flat_map(|c| c.attempts.iter().chain(&c.repeats)))
    }

    /// Returns the name of the VM behind a base URL.
    pub fn vm<'a>(&'a self, entry: &'a str) -> &'a str {
        self.vms.get(entry).map_or(entry, String::as_str)
    }

    /// Returns whether an entry was killed or suspended at any time in an interval.
    pub fn was_struck(&self, vm: &str, from_ms: u64, until_ms: u64) -> bool {
        self.spans.iter().any(|span| {
            let strikes = matches!(
                span.kind,
                fault::Kind::EntryKilled | fault::Kind::EntryFrozen
            );
            strikes && span.target == vm && span.overlaps(from_ms, until_ms)
        })
    }

    /// Returns whether the entry of a call was killed or suspended while it could have answered.
    pub fn was_entry_struck(&self, attempt: &attempt::Attempt) -> bool {
        let until = attempt.ended_ms.max(attempt.sent_ms);
        self.was_struck(self.vm(&attempt.entry), attempt.sent_ms, until)
    }
}
