//! Waits until every live entry has a configuration in force.

use std::time;

use displaydoc::Display;
use futures_util::future;
use mustardshed::core::{boundary::platform, ids};

use crate::entries;

/// Interval between polls of the entries.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// How many entries confirmed a configuration, and which did not.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Confirmation {
    /// Number of live entries that have it in force.
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
    /// Its last response or failure.
    pub state: State,
}

/// Last response or failure of an entry that has not confirmed a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum State {
    /// generation {0} is in force
    Behind(ids::Generation),
    /// {0}
    Failed(entries::EntryError),
}

/// Polls the live entries on the platform's list until each has `generation` or a later one in
/// force, or `limit` has passed.
///
/// The list is read again for each poll; while the platform cannot be reached, the list that was
/// read last is used.
///
/// # Errors
///
/// Returns an error if the list could not be read before `limit` had passed.
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

/// Returns the addresses of the entries that are listed as live.
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
    let responses = addresses.iter().map(|address| entries.status(address));
    let responses = future::join_all(responses).await;
    let states = responses.into_iter().map(|response| match response {
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
