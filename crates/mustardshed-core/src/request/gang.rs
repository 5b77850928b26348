//! Gangs: engines that share a prompt which exceeds one engine's memory.

use std::collections;

use mustardshed_config::text;

use crate::{
    ids, mutation,
    process::snapshot,
    request::route::{estimate, exclusion, work},
};

/// Maximum number of engines in one gang.
pub const MAX_ENGINES: u64 = text::MAX_GANG_SERVERS;

/// One engine of a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Engine {
    /// Server.
    pub server: ids::BackendServerId,
    /// Its `IP:PORT`.
    pub address: String,
}

/// Engines of one kind in one data centre that process a prompt in equal parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Data centre of all engines.
    pub data_centre: ids::DataCentreId,
    /// Engines in the order of their names, in which credits and reservations are acquired.
    pub engines: Vec<Engine>,
    /// KV memory that each engine holds, in tokens.
    pub tokens_each: ids::Tokens,
    /// Prompt tokens that each engine must prefill.
    pub prefill_each: ids::Tokens,
    /// Highest of the engines' estimates for their parts.
    pub estimate: estimate::Estimate,
}

/// One step of acquiring a gang; each engine is identified by its index in the plan.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcquireStep {
    /// Request a credit.
    Credit(usize),
    /// Reserve memory, for which the credit was granted.
    Reserve(usize),
}

/// Returns the steps that acquire a gang of this many engines, in order.
///
/// Memory is reserved as soon as its credit is granted: a credit must be used within
/// [`crate::process::credits::USE_WITHIN`], and the wait for the next credit may be longer.
pub fn acquire_steps(engines: usize) -> Vec<AcquireStep> {
    let credits = (0..engines).map(AcquireStep::Credit);
    let reservations = (0..engines).map(AcquireStep::Reserve);
    if mutation::on("gang_reserved_last") {
        return credits.chain(reservations).collect();
    }
    credits
        .zip(reservations)
        .flat_map(|(credit, reservation)| [credit, reservation])
        .collect()
}

/// Returns whether the work exceeds the memory of one engine of its kind.
pub fn is_needed(work: &work::Work<'_>) -> bool {
    match work.target {
        work::Target::Model { kind, .. } => work.memory_tokens > kind.memory_tokens,
        work::Target::Plain { .. } => false,
    }
}

/// Plans the gang with the lowest estimate; `None` if no data centre has enough engines.
///
/// The number of engines is the smallest that holds the work. All entries order engines by name, so
/// that gangs cannot deadlock.
pub fn plan(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    now: ids::Timestamp,
) -> Option<Plan> {
    let work::Target::Model { kind, .. } = work.target else {
        return None;
    };
    let count = work.memory_tokens.div_ceil(kind.memory_tokens.max(1));
    if count > MAX_ENGINES {
        return None;
    }
    let part = part_of(work, count);
    candidates(snapshot, work, &part)
        .into_iter()
        .filter_map(|(data_centre, servers)| {
            plan_in(snapshot, &part, data_centre, servers, count as usize, now)
        })
        .min_by_key(|plan| plan.estimate.total())
}

/// Returns the engines that may be given a part of the work, by data centre.
fn candidates<'a>(
    snapshot: &'a snapshot::Snapshot,
    work: &work::Work<'_>,
    part: &work::Work<'_>,
) -> collections::BTreeMap<&'a str, Vec<&'a snapshot::ServerView>> {
    let mut by_data_centre = collections::BTreeMap::<&str, Vec<_>>::new();
    for server in snapshot.servers.values().filter(|s| work.matches_kind(s)) {
        if exclusion::check(snapshot, part, server).is_none() {
            let in_data_centre = by_data_centre.entry(&server.data_centre);
            in_data_centre.or_default().push(server);
        }
    }
    by_data_centre
}

/// Returns the part of the work that each of `count` engines takes.
fn part_of<'a>(work: &work::Work<'a>, count: u64) -> work::Work<'a> {
    let mut part = work.clone();
    part.prompt_tokens = work.prompt_tokens.div_ceil(count);
    part.memory_tokens = work.memory_tokens.div_ceil(count);
    part.cached_prefix = None;
    part
}

/// Plans the gang with the lowest estimate in one data centre; `None` if it has too few engines.
fn plan_in(
    snapshot: &snapshot::Snapshot,
    part: &work::Work<'_>,
    data_centre: &str,
    servers: Vec<&snapshot::ServerView>,
    count: usize,
    now: ids::Timestamp,
) -> Option<Plan> {
    if servers.len() < count {
        return None;
    }
    let mut estimated: Vec<_> = servers
        .into_iter()
        .map(|server| (estimate::estimate(snapshot, part, server, now), server))
        .collect();
    estimated.sort_by_key(|(estimate, server)| (estimate.total(), &server.id));
    estimated.truncate(count);
    let highest = estimated.last().map(|(estimate, _)| *estimate)?;
    let mut engines: Vec<_> = estimated
        .into_iter()
        .map(|(_, server)| Engine {
            server: server.id.clone(),
            address: server.address.clone(),
        })
        .collect();
    if !mutation::on("gang_unordered") {
        engines.sort_by(|a, b| a.server.cmp(&b.server));
    }
    Some(Plan {
        data_centre: data_centre.to_owned(),
        engines,
        tokens_each: part.memory_tokens,
        prefill_each: part.prompt_tokens,
        estimate: highest,
    })
}
