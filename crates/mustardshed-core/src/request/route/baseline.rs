//! Baselines that measurements compare the estimate with.

use mustardshed_config::settings;

use crate::{
    process::snapshot,
    request::route::{exclusion, work},
};

/// Chooses a server by a baseline policy; `None` for the estimate, which is no baseline.
pub(super) fn choose<'a>(
    snapshot: &'a snapshot::Snapshot,
    work: &work::Work<'_>,
) -> Option<&'a snapshot::ServerView> {
    let eligible = || {
        snapshot
            .servers
            .values()
            .filter(|server| work.matches_kind(server))
            .filter(|server| exclusion::check(snapshot, work, server).is_none())
    };
    match work.routing {
        settings::Routing::Estimate => None,
        settings::Routing::RoundRobin => {
            let count = u64::try_from(eligible().count()).ok()?;
            let turn = work.seed.checked_rem(count)?;
            eligible().nth(usize::try_from(turn).ok()?)
        }
        settings::Routing::LeastRequests => eligible().min_by_key(|server| server.running),
        settings::Routing::PrefixAffinity => {
            let holder = work.cached_prefix.as_ref().map(|prefix| &prefix.server);
            let held = eligible().find(|server| Some(&server.id) == holder);
            held.or_else(|| eligible().min_by_key(|server| spread(work, server)))
        }
    }
}

/// Spreads prompts without a known prefix evenly.
fn spread(work: &work::Work<'_>, server: &snapshot::ServerView) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(server.id.as_bytes(), work.seed)
}
