//! Waiting until every entry has a configuration in force.

use std::time;

use displaydoc::Display;
use futures_util::future;
use mustardshed::core::{boundary::platform, ids};

use crate::entries;

/// Pause between two rounds of questions.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// What the entries said of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// Entries that have it in force.
    pub confirmed: usize,
    /// Entries that have not confirmed it.
    pub unconfirmed: Vec<Unconfirmed>,
}

/// An entry that has not confirmed a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[displaydoc("{address}: {state}")]
pub struct Unconfirmed {
    /// `IP:PORT` of the entry.
    pub address: String,
    /// What it said last.
    pub state: State,
}

/// What an entry that has not confirmed a configuration said last.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum State {
    /// generation {0} is in force
    Behind(ids::Generation),
    /// {0}
    Failed(entries::EntryError),
}

/// Asks all live entries on the platform's list until each has `generation` or a later one in force, or `limit` is over.
///
/// The list is read anew for each round; while the platform cannot
/// be reached, the list that was read last is used.
///
/// # Errors
///
/// Returns an error if the list could not be read at all.
pub async fn until_confirmed(
    platform: &dyn platform::Platform,
    entries: &dyn entries::Entries,
    generation: ids::Generation,
    limit: time::Duration,
) -> Result<Confirmation, platform::PlatformError> {
    let deadline = time::Instant::now() + limit;
    let mut addresses = None;
    loop {
        match platform.vms().await {
            Ok(vms) => addresses = Some(live_entries(&vms)),
            Err(err) if addresses.is_none() && time::Instant::now() >= deadline => return Err(err),
            Err(_) => {}
        }
        if let Some(addresses) = &addresses {
            let unconfirmed = poll(entries, addresses, generation).await;
            if unconfirmed.is_empty() || time::Instant::now() >= deadline {
                return Ok(Confirmation {
                    confirmed: addresses.len() - unconfirmed.len(),
                    unconfirmed,
                });
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the addresses of entries that are listed as live.
pub fn live_entries(vms: &[platform::Vm]) -> Vec<String> {
    let entries = vms
        .iter()
        .filter(|vm| vm.role == platform::VmRole::Entry && vm.state == platform::VmState::Live);
    entries.map(|vm| vm.address.clone()).collect()
}

async fn poll(
    entries: &dyn entries::Entries,
    addresses: &[String],
    generation: ids::Generation,
) -> Vec<Unconfirmed> {
    let answers = addresses.iter().map(|address| entries.status(address));
    let answers = future::join_all(answers).await;
    let states = answers.into_iter().map(|answer| match answer {
        Ok(status) if status.generation >= generation => None,
        Ok(status) => Some(State::Behind(status.generation)),
        Err(err) => Some(State::Failed(err)),
    });
    let unconfirmed = addresses.iter().zip(states);
    unconfirmed
        .filter_map(|(address, state)| {
            let address = address.clone();
            state.map(|state| Unconfirmed { address, state })
        })
        .collect()
}
