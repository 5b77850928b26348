//! Protection of a stream that was accepted during a planned stop, as sent between entries.

use std::{collections, time};

use mustardshed_core::{forward::load_tracker, ids};

use crate::forward::job;

/// Fields of a [`load_tracker::Protection`], and what its servers were sent later.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub struct Protection {
    /// Time until the stream must be complete, in milliseconds.
    #[serde(rename = "e")]
    pub ends_in_ms: u64,
    /// Engine time that its server may still spend on later requests, in milliseconds. Entries of
    /// earlier builds know no other.
    #[serde(rename = "s")]
    pub spare_left_ms: u64,
    /// The same when the stream was sent, if that was more.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub spare_ms: Option<u64>,
    /// Numbers of the requests of which its entry knew then, by their entries.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub known: Option<collections::BTreeMap<ids::VmId, Vec<u64>>>,
    /// What its servers were sent after it.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub later: Vec<LaterWork>,
}

/// Fields of a [`load_tracker::LaterWork`].
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
#[expect(missing_docs, reason = "the core documents the fields")]
pub struct LaterWork {
    #[serde(rename = "h")]
    pub server: ids::BackendServerId,
    #[serde(rename = "v")]
    pub vm: ids::VmId,
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "p")]
    pub prefill_ms: f32,
    #[serde(rename = "d")]
    pub steps: f32,
    #[serde(rename = "c")]
    pub context_tokens: f32,
}

impl Protection {
    pub(super) fn new(protection: &load_tracker::Protection, now: ids::Timestamp) -> Self {
        Self {
            ends_in_ms: job::to_millis(protection.ends_at.saturating_sub(now)),
            spare_left_ms: job::to_millis(protection.spare),
            spare_ms: None,
            known: protection.known.as_ref().map(by_vm),
            later: Vec::new(),
        }
    }

    pub(super) fn add_later_work(
        &mut self,
        later: Vec<load_tracker::LaterWork>,
        spare_left: time::Duration,
    ) {
        let spare_left_ms = job::to_millis(spare_left);
        self.spare_ms = (spare_left_ms < self.spare_left_ms).then_some(self.spare_left_ms);
        self.spare_left_ms = spare_left_ms;
        self.later = later.into_iter().map(Into::into).collect();
    }

    pub(super) fn later_work(&self) -> impl Iterator<Item = load_tracker::LaterWork> {
        self.later.iter().cloned().map(Into::into)
    }

    /// Converts the protection of a stream that is `age` old at `sent_at`.
    pub(super) fn into_protection(
        self,
        age: time::Duration,
        sent_at: ids::Timestamp,
    ) -> load_tracker::Protection {
        let spare = time::Duration::from_millis(self.spare_ms.unwrap_or(self.spare_left_ms));
        let known = self.known.map(|known| {
            let keys = known.into_iter().flat_map(|(vm, numbers)| {
                let keys = numbers.into_iter();
                keys.map(move |number| load_tracker::JobKey {
                    vm: vm.clone(),
                    number,
                })
            });
            keys.collect()
        });
        // An entry of an earlier build does not tell what the server has done since: at most what fits
        // into that time.
        let untold = if known.is_some() {
            time::Duration::ZERO
        } else {
            age
        };
        load_tracker::Protection {
            ends_at: sent_at.saturating_add(time::Duration::from_millis(self.ends_in_ms)),
            spare: spare.saturating_sub(untold),
            known,
        }
    }
}

impl From<load_tracker::LaterWork> for LaterWork {
    fn from(later: load_tracker::LaterWork) -> Self {
        Self {
            server: later.server,
            vm: later.key.vm,
            number: later.key.number,
            prefill_ms: job::to_f32(later.work.prefill_ms),
            steps: job::to_f32(later.work.steps),
            context_tokens: job::to_f32(later.work.context_tokens),
        }
    }
}

impl From<LaterWork> for load_tracker::LaterWork {
    fn from(later: LaterWork) -> Self {
        Self {
            server: later.server,
            key: load_tracker::JobKey {
                vm: later.vm,
                number: later.number,
            },
            work: load_tracker::Work {
                prefill_ms: job::non_negative(later.prefill_ms),
                steps: job::non_negative(later.steps),
                context_tokens: job::non_negative(later.context_tokens),
            },
        }
    }
}

fn by_vm(
    keys: &collections::BTreeSet<load_tracker::JobKey>,
) -> collections::BTreeMap<ids::VmId, Vec<u64>> {
    let mut by_vm = collections::BTreeMap::<ids::VmId, Vec<u64>>::new();
    for key in keys {
        by_vm.entry(key.vm.clone()).or_default().push(key.number);
    }
    by_vm
}
