//! Costs of the placements of one request with a given number of helpers.

use crate::{
    forward::{
        engine, lateness, load_tracker,
        placement::{self, Need, Placed, snapshot},
    },
    ids,
};

/// Minimum number of tokens that a helper is asked to hold; smaller reservations are not worth a
/// call.
const MIN_HELD_TOKENS: ids::Tokens = 2_000;

/// Evaluates each server as the primary, with the best `count` others as helpers, each of which
/// prefills for `shard_ms`.
pub(super) fn placements<'f>(
    snapshot: &'f snapshot::Snapshot<'f>,
    need: &'f Need,
    shard_ms: f64,
    count: usize,
) -> impl Iterator<Item = Placed> + 'f {
    let options = helper_options(snapshot, need, shard_ms, count);
    snapshot
        .servers
        .iter()
        .enumerate()
        .filter_map(move |(i, primary)| {
            if !primary.can_respond(snapshot.profile) {
                return None;
            }
            let helpers: Vec<&HelperOption<'_>> = options
                .iter()
                .filter(|option| option.index != i)
                .take(count)
                .collect();
            if helpers.len() < count {
                return None;
            }
            let held_tokens = held_tokens(primary, &helpers, snapshot, need)?;
            Some(evaluate(
                snapshot,
                primary,
                &helpers,
                held_tokens,
                need,
                shard_ms,
            ))
        })
}

/// A server that would prefill a shard.
struct HelperOption<'f> {
    index: usize,
    server: &'f snapshot::ServerSnapshot<'f>,
    /// Cost of its prefill.
    cost: f64,
    /// Share of the cost that other requests lose.
    interference: f64,
    /// Time until the shard is prefilled, in milliseconds.
    done_ms: f64,
}

/// Returns the servers that may prefill a shard, the cheapest first: `count` and a spare one.
fn helper_options<'f>(
    snapshot: &'f snapshot::Snapshot<'f>,
    need: &Need,
    shard_ms: f64,
    count: usize,
) -> Vec<HelperOption<'f>> {
    if count == 0 {
        return Vec::new();
    }
    let servers = snapshot.servers.iter().enumerate();
    let servers = servers.filter(|(_, server)| server.can_help(snapshot.profile));
    let options = servers.map(|(index, server)| {
        let shard_ms = shard_ms * server.slowdown;
        let done_ms = server.prefill_done_ms(shard_ms);
        let interference =
            snapshot.interference(server, shard_ms) + server.cut_cost(snapshot.profile, shard_ms);
        let cost = interference
            + risk_cost(server, need.weight())
            + done_ms / 1_000.0 * placement::WAITING_COST_PER_S
            + backlog_cost(server, shard_ms);
        HelperOption {
            index,
            server,
            cost,
            interference,
            done_ms,
        }
    });
    let mut options: Vec<HelperOption<'f>> = options.collect();
    options.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    options.truncate(count + 1);
    options
}

/// Returns the tokens that each helper must hold so that the rest fits on the primary, or none if
/// it does not fit.
fn held_tokens(
    primary: &snapshot::ServerSnapshot<'_>,
    helpers: &[&HelperOption<'_>],
    snapshot: &snapshot::Snapshot<'_>,
    need: &Need,
) -> Option<Vec<ids::Tokens>> {
    let free_tokens = primary.free_tokens(snapshot.profile);
    let mut left = (need.prompt_tokens + need.output_tokens).saturating_sub(free_tokens);
    if left > need.prompt_tokens {
        return None;
    }
    let mut held_tokens = vec![0; helpers.len()];
    let mut by_free_tokens: Vec<(ids::Tokens, usize)> = helpers
        .iter()
        .enumerate()
        .map(|(i, helper)| (helper.server.reservable_tokens(snapshot.profile), i))
        .collect();
    by_free_tokens.sort_unstable_by(|a, b| b.cmp(a));
    for (free_tokens, i) in by_free_tokens {
        if left == 0 {
            break;
        }
        held_tokens[i] = free_tokens.min(left.max(MIN_HELD_TOKENS));
        left = left.saturating_sub(free_tokens);
    }
    (left == 0).then_some(held_tokens)
}

fn evaluate(
    snapshot: &snapshot::Snapshot<'_>,
    primary: &snapshot::ServerSnapshot<'_>,
    helpers: &[&HelperOption<'_>],
    held_tokens: Vec<ids::Tokens>,
    need: &Need,
    shard_ms: f64,
) -> Placed {
    let weight = need.weight();
    let own_shard_ms = shard_ms * primary.slowdown;
    // A prompt that is prefilled alone waits for its turn; the shards of a shared one go first.
    let is_alone = helpers.is_empty();
    let ahead_ms = if is_alone { primary.backlog_ms } else { 0.0 };
    let own_done_ms = primary
        .prefill_done_ms(own_shard_ms)
        .max(ahead_ms + own_shard_ms);
    let prefilled_ms = helpers
        .iter()
        .map(|helper| helper.done_ms)
        .fold(own_done_ms, f64::max);
    let estimate_ms = prefilled_ms + snapshot.profile.step_ms;
    let waited_ms = snapshot.now.saturating_sub(need.arrived_at).as_secs_f64() * 1_000.0;
    let loss = lateness::expected_loss(waited_ms + estimate_ms, need.objective_ms, need.timeout_ms);
    let helpers_cost: f64 = helpers.iter().map(|helper| helper.cost).sum();
    let helpers_interference: f64 = helpers.iter().map(|helper| helper.interference).sum();
    let reservations = held_tokens.iter().filter(|tokens| **tokens > 0).count();
    let decoding = load_tracker::Work::decoding(need.output_tokens, need.prompt_tokens);
    let decoding_ms = decoding.ms(snapshot.profile) * primary.slowdown;
    let own_interference = snapshot.interference(primary, own_shard_ms)
        + primary.cut_cost(snapshot.profile, own_shard_ms + decoding_ms);
    let cost = own_interference
        + helpers_cost
        + weight * loss
        + weight * placement::WAITING_COST_PER_S * estimate_ms / 1_000.0
        + placement::count_f64(helpers.len()) * placement::HELPER_COST
        + placement::count_f64(reservations) * placement::RESERVATION_COST
        + primary_cost(primary, snapshot, need)
        + backlog_cost(primary, own_shard_ms)
        + risk_cost(primary, weight);
    let helpers = helpers
        .iter()
        .zip(held_tokens)
        .map(|(helper, held_tokens)| load_tracker::Helper {
            server: helper.server.server.id.clone(),
            held_tokens,
        });
    Placed {
        primary: primary.server.id.clone(),
        helpers: helpers.collect(),
        shard_ms,
        estimate_ms,
        cost,
        interference: own_interference + helpers_interference,
        protection: protection(snapshot, primary, need, estimate_ms, is_alone),
    }
}

/// Returns the protection of the request, if it must be complete before this entry is stopped.
fn protection(
    snapshot: &snapshot::Snapshot<'_>,
    primary: &snapshot::ServerSnapshot<'_>,
    need: &Need,
    estimate_ms: f64,
    is_alone: bool,
) -> Option<load_tracker::Protection> {
    let limit = need.stop?;
    // Of a shared prompt, the shards go first; what was pending delays the decoding.
    let pending_ms = if is_alone { 0.0 } else { primary.backlog_ms };
    Some(load_tracker::Protection {
        ends_at: limit.ends_at,
        spare: limit.spare(
            snapshot.profile,
            need,
            &primary.load,
            primary.slowdown,
            engine::millis(estimate_ms + pending_ms),
            snapshot.now,
        ),
        known: None,
    })
}

/// Returns the cost of decoding on a server.
fn primary_cost(
    primary: &snapshot::ServerSnapshot<'_>,
    snapshot: &snapshot::Snapshot<'_>,
    need: &Need,
) -> f64 {
    let packed_jobs = snapshot.packed_jobs;
    let primary_jobs = placement::count_f64(primary.load.primary_jobs.len());
    let crowding = (primary_jobs + 1.0 - packed_jobs).max(0.0) * placement::CROWDING_COST;
    let similar_jobs = primary.load.similar_jobs(need.gap_objective_ms);
    let spreading = (1.0 - placement::count_f64(similar_jobs) / packed_jobs).max(0.0);
    // Requests with short gap objectives suffer from prefills on the same server.
    let loss =
        lateness::expected_gap_loss(primary.decode_gap_ms(), need.gap_objective_ms) * need.weight();
    let remote = if primary.is_local {
        0.0
    } else {
        placement::REMOTE_COST
    };
    crowding + spreading * placement::SPREADING_COST + remote + primary.bias + loss
}

/// Returns the cost to later requests.
fn backlog_cost(server: &snapshot::ServerSnapshot<'_>, shard_ms: f64) -> f64 {
    (server.backlog_ms + shard_ms) * shard_ms / 1e6 * placement::BACKLOG_COST_PER_S
}

/// Returns the cost of the risk that a server fails.
fn risk_cost(server: &snapshot::ServerSnapshot<'_>, weight: f64) -> f64 {
    let cold = if server.is_cold {
        placement::COLD_COST
    } else {
        0.0
    };
    cold + weight * placement::FAILURE_COST * server.failure_score.min(2.0)
}
