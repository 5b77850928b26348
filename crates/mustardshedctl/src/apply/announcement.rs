//! Intents and commits, sent to all entries at once.

use std::time;

use futures_util::future;
use mustardshed::core::{boundary::platform, ids, version::record};

use super::{
    INTENT_MAX_AGE,
    error::{ApplyError, EntryFailure},
};
use crate::entries;

/// Longest wait for an entry to acknowledge an intent; it leaves time for the update.
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
    /// Sends the intent to every listed entry from `started_at` on; those that are leaving do not
    /// count for the majority.
    pub(super) async fn send(
        entries: &dyn entries::Entries,
        vms: &[platform::Vm],
        record: &record::Record,
        started_at: ids::Timestamp,
    ) -> Self {
        let listed = vms.iter().filter(|vm| vm.role == platform::VmRole::Entry);
        let listed: Vec<&platform::Vm> = listed.collect();
        let answers = listed.iter().map(|vm| intent(entries, &vm.address, record));
        let answers = future::join_all(answers).await;
        let mut announcement = Self {
            started_at,
            addresses: listed.iter().map(|vm| vm.address.clone()).collect(),
            live: 0,
            acknowledged: 0,
            failures: Vec::new(),
        };
        for (vm, answer) in listed.iter().zip(answers) {
            if vm.state == platform::VmState::Live {
                announcement.count(vm, answer);
            }
        }
        announcement
    }

    /// Tells every entry that the record was accepted; returns those that did not answer.
    pub(super) async fn commit(
        &self,
        entries: &dyn entries::Entries,
        record: &record::Record,
    ) -> Vec<EntryFailure> {
        let answers = self
            .addresses
            .iter()
            .map(|address| entries.commit(address, record));
        let answers = future::join_all(answers).await;
        let untold = self.addresses.iter().zip(answers);
        untold
            .filter_map(|(address, answer)| entry_failure(address, answer))
            .collect()
    }

    /// Returns a time before which no intent was sent.
    pub(super) const fn started_at(&self) -> ids::Timestamp {
        self.started_at
    }

    /// Returns whether the update may still be sent on its strength.
    pub(super) fn is_fresh(&self, now: ids::Timestamp) -> bool {
        now < self.started_at + INTENT_MAX_AGE
    }

    /// Returns whether more than half of the live entries acknowledged it, or there is none.
    pub(super) const fn has_majority(&self) -> bool {
        self.live == 0 || self.acknowledged * 2 > self.live
    }

    /// Returns whether an entry knows of a later configuration.
    pub(super) fn has_conflict(&self) -> bool {
        self.failures
            .iter()
            .any(|refusal| refusal.reason.is_conflict())
    }

    /// Returns the number of live entries on the platform's list.
    pub(super) const fn live(&self) -> usize {
        self.live
    }

    /// Returns the number of live entries that acknowledged the intent.
    pub(super) const fn acknowledged(&self) -> usize {
        self.acknowledged
    }

    /// Turns an intent without a majority into an error.
    pub(super) fn into_error(self) -> ApplyError {
        ApplyError::NoMajority {
            acknowledged: self.acknowledged,
            live: self.live,
            failures: self.failures,
        }
    }

    fn count(&mut self, vm: &platform::Vm, answer: Result<(), entries::EntryError>) {
        self.live += 1;
        match entry_failure(&vm.address, answer) {
            Some(refusal) => self.failures.push(refusal),
            None => self.acknowledged += 1,
        }
    }
}

async fn intent(
    entries: &dyn entries::Entries,
    address: &str,
    record: &record::Record,
) -> Result<(), entries::EntryError> {
    let answer = tokio::time::timeout(INTENT_TIMEOUT, entries.intent(address, record)).await;
    answer.unwrap_or_else(|_| {
        let reason = format!("not within {INTENT_TIMEOUT:?}");
        Err(entries::EntryError::Unanswered(reason))
    })
}

fn entry_failure(address: &str, answer: Result<(), entries::EntryError>) -> Option<EntryFailure> {
    answer.err().map(|reason| EntryFailure {
        address: address.to_owned(),
        reason,
    })
}
