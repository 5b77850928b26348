//! Deletes expired claims; each entry sweeps those of its share of the client accounts.

use std::{collections, sync, time};

use mustardshed::core::{
    boundary::{control as boundary, platform},
    ids,
    process::snapshot,
    request::claim::sweep,
};

use super::{objects, wall_now};
use crate::{
    log::{self, event},
    process::control,
};

/// Interval between two sweeps.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_secs(6 * 60 * 60);
/// Longest delay of the first sweep, which begins at a random moment after the start.
const MAX_FIRST_DELAY: time::Duration = time::Duration::from_secs(10 * 60);

/// Starts the sweeps of an entry on the current runtime.
pub fn spawn(handle: &sync::Arc<control::Handle>, platform: sync::Arc<dyn platform::Platform>) {
    let handle = sync::Arc::clone(handle);
    tokio::spawn(async move {
        tokio::time::sleep(MAX_FIRST_DELAY.mul_f64(rand::random())).await;
        loop {
            let snapshot = boundary::Control::snapshot(handle.as_ref());
            sweep_share(&snapshot, &platform).await;
            tokio::time::sleep(SWEEP_INTERVAL).await;
        }
    });
}

async fn sweep_share(snapshot: &snapshot::Snapshot, platform: &sync::Arc<dyn platform::Platform>) {
    let live = live(snapshot);
    let accounts =
        sweep::assigned_accounts(&snapshot.vm, &live, snapshot.text.client_accounts.keys());
    if accounts.is_empty() {
        return;
    }
    let pause = sweep::pause(live.len());
    let stats = sweep(platform, &accounts, wall_now(), pause).await;
    log::emit(&event::Event::ClaimsSwept {
        accounts: accounts.len(),
        listed: stats.listed,
        deleted: stats.deleted,
        failed: stats.failed,
        given_up: stats.is_aborted,
    });
}

/// Sweeps the claims of these client accounts, with a pause after each call to the platform.
///
/// `wall_now` is the present time since the Unix epoch.
pub async fn sweep(
    platform: &sync::Arc<dyn platform::Platform>,
    accounts: &[&ids::ClientAccountId],
    wall_now: time::Duration,
    pause: time::Duration,
) -> sweep::SweepStats {
    let objects = objects::Objects::new(sync::Arc::clone(platform));
    let (mut sweep, mut step) = sweep::Sweep::begin(accounts.iter().copied());
    loop {
        step = match step {
            sweep::Step::List { prefix } => sweep.on_list(objects.list(&prefix).await, wall_now),
            sweep::Step::Delete { name, expected } => {
                let purpose = platform::Purpose::ClaimSweep;
                sweep.on_delete(objects.delete(purpose, &name, expected).await)
            }
            sweep::Step::Done(stats) => return stats,
        };
        tokio::time::sleep(pause).await;
    }
}

fn live(snapshot: &snapshot::Snapshot) -> collections::BTreeSet<&ids::VmId> {
    let members = snapshot.members.values();
    let live = members.filter(|member| member.live && !member.leaving);
    live.map(|member| &member.vm).collect()
}
