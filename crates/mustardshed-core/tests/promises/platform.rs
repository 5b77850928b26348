//! Fake platform: the configuration object with its history, and the VM list.

use std::time;

use mustardshed_core::{boundary::platform, ids, version::record};

/// Lag of the VM list.
const LIST_LAG: time::Duration = time::Duration::from_millis(800);

/// The fake platform.
#[derive(Debug, Default)]
pub struct Platform {
    /// Whether no call is answered.
    pub is_out: bool,
    /// Whether the answer to the next accepted write is lost.
    pub loses_answer: bool,
    /// Age of the configuration that reads return.
    pub staleness: time::Duration,
    writes: Vec<(ids::Timestamp, record::Record)>,
    lists: Vec<(ids::Timestamp, Vec<platform::Vm>)>,
}

impl Platform {
    /// Returns what a read of the configuration returns at `now`.
    pub fn read(
        &self,
        now: ids::Timestamp,
    ) -> Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError> {
        if self.is_out {
            return Err(platform::PlatformError::Unanswered("outage".into()));
        }
        Ok(self.accepted(now.saturating_sub(self.staleness)))
    }

    /// Returns the latest record accepted by a time, with its version.
    pub fn accepted(&self, at: ids::Timestamp) -> Option<(ids::ObjectVersion, record::Record)> {
        let index = self
            .writes
            .iter()
            .rposition(|(written, _)| *written <= at)?;
        let (_, record) = self.writes.get(index)?;
        Some((index as u64 + 1, record.clone()))
    }

    /// Returns all accepted records with the times of their writes.
    pub fn writes(&self) -> &[(ids::Timestamp, record::Record)] {
        &self.writes
    }

    /// Writes the record if `expected` is the current version; returns whether it was accepted.
    pub fn write(
        &mut self,
        expected: ids::ObjectVersion,
        record: record::Record,
        now: ids::Timestamp,
    ) -> bool {
        let is_accepted = !self.is_out && self.writes.len() as u64 == expected;
        if is_accepted {
            self.writes.push((now, record));
        }
        is_accepted
    }

    /// Returns what a read of the VM list returns at `now`.
    pub fn vms(&self, now: ids::Timestamp) -> Result<Vec<platform::Vm>, platform::PlatformError> {
        if self.is_out {
            return Err(platform::PlatformError::Unanswered("outage".into()));
        }
        let at = now.saturating_sub(LIST_LAG);
        let list = self.lists.iter().rfind(|(changed, _)| *changed <= at);
        Ok(list
            .or(self.lists.first())
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default())
    }

    /// Returns the current VM list, without lag.
    pub fn listed(&self) -> Vec<platform::Vm> {
        self.lists
            .last()
            .map(|(_, vms)| vms.clone())
            .unwrap_or_default()
    }

    /// Replaces the VM list.
    pub fn set_list(&mut self, vms: Vec<platform::Vm>, now: ids::Timestamp) {
        self.lists.push((now, vms));
    }
}
