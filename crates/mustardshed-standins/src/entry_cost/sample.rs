//! Totals of every entry at one point in time.

use std::{collections, fs, time};

use crate::{
    fleet::{self, FleetError},
    load::cpu,
};

/// Name of the entries' control thread.
const CONTROL_THREAD: &str = "control";

/// Totals of one entry since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryTotals {
    /// CPU time of all threads.
    pub cpu: time::Duration,
    /// CPU time of the control thread.
    pub control_cpu: time::Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Bytes by kind of connection and direction.
    pub bytes: collections::BTreeMap<String, u64>,
    /// Platform calls by purpose.
    pub calls: collections::BTreeMap<String, u64>,
}

/// Totals of every entry at one point in time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time at which it was taken.
    pub at: time::Instant,
    /// Totals of each entry.
    pub entries: Vec<EntryTotals>,
}

impl Sample {
    /// Takes a sample of a fleet.
    ///
    /// # Errors
    ///
    /// Returns an error if the entries' status cannot be read.
    pub async fn take(fleet: &fleet::Fleet) -> Result<Self, FleetError> {
        let status = fleet.ctl(&["--json", "status"]).await?;
        let status: serde_json::Value = serde_json::from_str(&status)
            .map_err(|e| FleetError::Call("mustardshedctl status".to_owned(), e.to_string()))?;
        let totals = |entry: &fleet::entry::Entry| {
            let answers = status["entries"].as_array().into_iter().flatten();
            let mut own = answers.filter(|answer| answer["address"] == *entry.address);
            EntryTotals::of(entry.process.id(), own.next())
        };
        Ok(Self {
            at: time::Instant::now(),
            entries: fleet.entries.iter().map(totals).collect(),
        })
    }
}

impl EntryTotals {
    fn of(pid: u32, answer: Option<&serde_json::Value>) -> Self {
        let status = answer.map_or(&serde_json::Value::Null, |answer| &answer["status"]);
        Self {
            cpu: cpu::used_by(&[pid]),
            control_cpu: cpu::used_by_threads(pid, CONTROL_THREAD),
            resident_bytes: resident_bytes(pid).unwrap_or_default(),
            bytes: counts(&status["bytes"]),
            calls: counts(&status["platform_calls"]),
        }
    }
}

fn counts(value: &serde_json::Value) -> collections::BTreeMap<String, u64> {
    let items = value.as_object().into_iter().flatten();
    let items = items.map(|(name, count)| (name.clone(), count.as_u64().unwrap_or_default()));
    items.collect()
}

/// Reads the resident memory of a process, in bytes.
fn resident_bytes(pid: u32) -> Option<u64> {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * rustix::param::page_size() as u64)
}
