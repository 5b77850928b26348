//! Baseline policies with which benchmarks compare the estimate.

use mustardshed_config::settings;

use crate::{
    process::snapshot,
    request::route::{exclusion, work},
};

/// Chooses a server by a baseline policy; `None` if no server may be given the work, or for the
/// estimate, which is not a baseline.
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
            let index = work.seed.checked_rem(count)?;
            eligible().nth(usize::try_from(index).ok()?)
        }
        settings::Routing::LeastRequests => eligible().min_by_key(|server| server.running),
        settings::Routing::PrefixAffinity => {
            let holder = work.cached_prefix.as_ref().map(|prefix| &prefix.server);
            let holder_server = eligible().find(|server| Some(&server.id) == holder);
            holder_server.or_else(|| eligible().min_by_key(|server| spread_hash(work, server)))
        }
    }
}

/// Returns a hash that spreads prompts without a known prefix evenly over the servers.
fn spread_hash(work: &work::Work<'_>, server: &snapshot::ServerView) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(server.id.as_bytes(), work.seed)
}
