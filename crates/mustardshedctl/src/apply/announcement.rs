//! Sends intents and commits to all entries in parallel.

use std::time;

use futures_util::future;
use mustardshed::core::{boundary::platform, ids, version::record};

use super::{
    INTENT_MAX_AGE,
    error::{ApplyError, EntryFailure},
};
use crate::entries;

/// Longest wait for an entry to acknowledge an intent; below [`INTENT_MAX_AGE`], to leave time for
/// the update.
const INTENT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// An intent that was sent to every entry on the platform's list.
#[derive(Clone, Debug)]
pub(super) struct Announcement {
    started_at: ids::Timestamp,
    addresses: Vec<String>,
    live: usize,
    acknowledged: usize,
    failures: Vec<EntryFailure>,
}

impl Announcement {
    /// Sends the intent to every listed entry; those that are leaving do not count towards the
    /// majority. `started_at` is a time at or before the first of these calls.
    pub(super) async fn send(
        entries: &dyn entries::Entries,
        vms: &[platform::Vm],
        record: &record::Record,
        started_at: ids::Timestamp,
    ) -> Self {
        let listed = vms.iter().filter(|vm| vm.role == platform::VmRole::Entry);
        let listed: Vec<&platform::Vm> = listed.collect();
        let responses = listed.iter().map(|vm| intent(entries, &vm.address, record));
        let responses = future::join_all(responses).await;
        let mut announcement = Self {
            started_at,
            addresses: listed.iter().map(|vm| vm.address.clone()).collect(),
            live: 0,
            acknowledged: 0,
            failures: Vec::new(),
        };
        for (vm, response) in listed.iter().zip(responses) {
            if vm.state == platform::VmState::Live {
                announcement.count(vm, response);
            }
        }
        announcement
    }

    /// Tells every entry that the record was accepted; returns the failed calls.
    pub(super) async fn commit(
        &self,
        entries: &dyn entries::Entries,
        record: &record::Record,
    ) -> Vec<EntryFailure> {
        let responses = self
            .addresses
            .iter()
            .map(|address| entries.commit(address, record));
        let responses = future::join_all(responses).await;
        let responses = self.addresses.iter().zip(responses);
        responses
            .filter_map(|(address, response)| entry_failure(address, response))
            .collect()
    }

    /// Returns a time before which no intent was sent.
    pub(super) const fn started_at(&self) -> ids::Timestamp {
        self.started_at
    }

    /// Returns whether the intents are recent enough to send the update.
    pub(super) fn is_fresh(&self, now: ids::Timestamp) -> bool {
        now < self.started_at + INTENT_MAX_AGE
    }

    /// Returns whether more than half of the live entries acknowledged the intent, or there are no
    /// live entries.
    pub(super) const fn has_majority(&self) -> bool {
        self.live == 0 || self.acknowledged * 2 > self.live
    }

    /// Returns whether an entry refused the intent because it knows of a later configuration.
    pub(super) fn has_conflict(&self) -> bool {
        self.failures
            .iter()
            .any(|failure| failure.reason.is_conflict())
    }

    /// Returns the number of live entries on the platform's list.
    pub(super) const fn live(&self) -> usize {
        self.live
    }

    /// Returns the number of live entries that acknowledged the intent.
    pub(super) const fn acknowledged(&self) -> usize {
        self.acknowledged
    }

    /// Returns the error for an intent that no majority acknowledged.
    pub(super) fn into_error(self) -> ApplyError {
        ApplyError::NoMajority {
            acknowledged: self.acknowledged,
            live: self.live,
            failures: self.failures,
        }
    }

    fn count(&mut self, vm: &platform::Vm, response: Result<(), entries::EntryError>) {
        self.live += 1;
        match entry_failure(&vm.address, response) {
            Some(failure) => self.failures.push(failure),
            None => self.acknowledged += 1,
        }
    }
}

async fn intent(
    entries: &dyn entries::Entries,
    address: &str,
    record: &record::Record,
) -> Result<(), entries::EntryError> {
    let response = tokio::time::timeout(INTENT_TIMEOUT, entries.intent(address, record)).await;
    response.unwrap_or_else(|_| {
        let reason = format!("timed out after {INTENT_TIMEOUT:?}");
        Err(entries::EntryError::Unanswered(reason))
    })
}

fn entry_failure(address: &str, response: Result<(), entries::EntryError>) -> Option<EntryFailure> {
    response.err().map(|reason| EntryFailure {
        address: address.to_owned(),
        reason,
    })
}
