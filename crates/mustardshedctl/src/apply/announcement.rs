//! Intents and commits, sent to all entries at once.

use std::time;

use futures_util::future;
use mustardshed::core::{boundary::platform, ids, version::record};

use super::{
    INTENT_LIFE,
    error::{ApplyError, Refusal},
};
use crate::entries;

/// Longest wait for an entry to acknowledge an intent; it leaves time for the update.
const INTENT_PATIENCE: time::Duration = time::Duration::from_millis(1_500);

/// An intent that was sent to every entry on the platform's list.
#[derive(Clone, Debug)]
pub(super) struct Announcement {
    begun_at: ids::Timestamp,
    addresses: Vec<String>,
    live: usize,
    acknowledged: usize,
    refusals: Vec<Refusal>,
}

impl Announcement {
    /// Sends the intent to every listed entry from `begun_at` on; those that are leaving do not
    /// count for the majority.
    pub(super) async fn send(
        entries: &dyn entries::Entries,
        vms: &[platform::Vm],
        record: &record::Record,
        begun_at: ids::Timestamp,
    ) -> Self {
        let listed = vms.iter().filter(|vm| vm.role == platform::VmRole::Entry);
        let listed: Vec<&platform::Vm> = listed.collect();
        let answers = listed.iter().map(|vm| intent(entries, &vm.address, record));
        let answers = future::join_all(answers).await;
        let mut announcement = Self {
            begun_at,
            addresses: listed.iter().map(|vm| vm.address.clone()).collect(),
            live: 0,
            acknowledged: 0,
            refusals: Vec::new(),
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
    ) -> Vec<Refusal> {
        let answers = self
            .addresses
            .iter()
            .map(|address| entries.commit(address, record));
        let answers = future::join_all(answers).await;
        let untold = self.addresses.iter().zip(answers);
        untold
            .filter_map(|(address, answer)| refusal(address, answer))
            .collect()
    }

    /// Returns a time before which no intent was sent.
    pub(super) const fn begun_at(&self) -> ids::Timestamp {
        self.begun_at
    }

    /// Returns whether the update may still be sent on its strength.
    pub(super) fn is_fresh(&self, now: ids::Timestamp) -> bool {
        now < self.begun_at + INTENT_LIFE
    }

    /// Returns whether more than half of the live entries acknowledged it, or there is none.
    pub(super) const fn has_majority(&self) -> bool {
        self.live == 0 || self.acknowledged * 2 > self.live
    }

    /// Returns whether an entry knows of a later configuration.
    pub(super) fn is_conflict(&self) -> bool {
        self.refusals
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
        ApplyError::IntentRefused {
            acknowledged: self.acknowledged,
            live: self.live,
            refusals: self.refusals,
        }
    }

    fn count(&mut self, vm: &platform::Vm, answer: Result<(), entries::EntryError>) {
        self.live += 1;
        match refusal(&vm.address, answer) {
            Some(refusal) => self.refusals.push(refusal),
            None => self.acknowledged += 1,
        }
    }
}

async fn intent(
    entries: &dyn entries::Entries,
    address: &str,
    record: &record::Record,
) -> Result<(), entries::EntryError> {
    let answer = tokio::time::timeout(INTENT_PATIENCE, entries.intent(address, record)).await;
    answer.unwrap_or_else(|_| {
        let reason = format!("not within {INTENT_PATIENCE:?}");
        Err(entries::EntryError::Unanswered(reason))
    })
}

fn refusal(address: &str, answer: Result<(), entries::EntryError>) -> Option<Refusal> {
    answer.err().map(|reason| Refusal {
        address: address.to_owned(),
        reason,
    })
}
