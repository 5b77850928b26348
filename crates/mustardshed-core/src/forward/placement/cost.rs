//! Costs of the placements of one request with a given number of helpers.

use crate::{
    forward::{
        lateness, load_tracker,
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
    field: &'f snapshot::Snapshot<'f>,
    need: &'f Need,
    part_ms: f64,
    count: usize,
) -> impl Iterator<Item = Placed> + 'f {
    let readers = helper_options(field, need, part_ms, count);
    field
        .servers
        .iter()
        .enumerate()
        .filter_map(move |(i, home)| {
            if !home.has_free_slot(field.profile) {
                return None;
            }
            let helpers: Vec<&HelperOption<'_>> = readers
                .iter()
                .filter(|reader| reader.index != i)
                .take(count)
                .collect();
            if helpers.len() < count {
                return None;
            }
            let held = held_tokens(home, &helpers, field, need)?;
            Some(evaluate(field, home, &helpers, held, need, part_ms))
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
    field: &'f snapshot::Snapshot<'f>,
    need: &Need,
    part_ms: f64,
    count: usize,
) -> Vec<HelperOption<'f>> {
    if count == 0 {
        return Vec::new();
    }
    let spots = field.servers.iter().enumerate();
    let spots = spots.filter(|(_, spot)| spot.can_help(field.profile));
    let readers = spots.map(|(place, spot)| {
        let part_ms = part_ms * spot.slowdown;
        let done_ms = spot.prefill_done_ms(part_ms);
        let harm = field.interference(spot, part_ms);
        let price = harm
            + risk_cost(spot, need.weight())
            + done_ms / 1_000.0 * placement::WAITING_COST_PER_S
            + backlog_cost(spot, part_ms);
        HelperOption {
            index: place,
            server: spot,
            cost: price,
            interference: harm,
            done_ms,
        }
    });
    let mut readers: Vec<HelperOption<'f>> = readers.collect();
    readers.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    readers.truncate(count + 1);
    readers
}

/// Returns the tokens that each helper must hold so that the rest fits on the primary, or none if
/// it does not fit.
fn held_tokens(
    home: &snapshot::ServerSnapshot<'_>,
    helpers: &[&HelperOption<'_>],
    field: &snapshot::Snapshot<'_>,
    need: &Need,
) -> Option<Vec<ids::Tokens>> {
    let room = home.free_tokens(field.profile);
    let mut left = (need.prompt_tokens + need.output_tokens).saturating_sub(room);
    if left > need.prompt_tokens {
        return None;
    }
    let mut held = vec![0; helpers.len()];
    let mut by_room: Vec<(ids::Tokens, usize)> = helpers
        .iter()
        .enumerate()
        .map(|(i, helper)| (helper.server.free_tokens(field.profile), i))
        .collect();
    by_room.sort_unstable_by(|a, b| b.cmp(a));
    for (room, i) in by_room {
        if left == 0 {
            break;
        }
        held[i] = room.min(left.max(MIN_HELD_TOKENS));
        left = left.saturating_sub(room);
    }
    (left == 0).then_some(held)
}

fn evaluate(
    field: &snapshot::Snapshot<'_>,
    home: &snapshot::ServerSnapshot<'_>,
    helpers: &[&HelperOption<'_>],
    held: Vec<ids::Tokens>,
    need: &Need,
    part_ms: f64,
) -> Placed {
    let value = need.weight();
    let own_part_ms = part_ms * home.slowdown;
    // A prompt that is prefilled alone waits for its turn; the shards of a shared one go first.
    let is_alone = helpers.is_empty();
    let ahead_ms = if is_alone { home.backlog_ms } else { 0.0 };
    let own_done_ms = home
        .prefill_done_ms(own_part_ms)
        .max(ahead_ms + own_part_ms);
    let read_by = helpers
        .iter()
        .map(|helper| helper.done_ms)
        .fold(own_done_ms, f64::max);
    let estimate_ms = read_by + field.profile.step_ms;
    let waited_ms = field.now.saturating_sub(need.arrived_at).as_secs_f64() * 1_000.0;
    let lost = lateness::expected_loss(waited_ms + estimate_ms, need.objective_ms, need.timeout_ms);
    let at_helpers: f64 = helpers.iter().map(|helper| helper.cost).sum();
    let helpers_harm: f64 = helpers.iter().map(|helper| helper.interference).sum();
    let reservations = held.iter().filter(|tokens| **tokens > 0).count();
    let own_harm = field.interference(home, own_part_ms);
    let price = own_harm
        + at_helpers
        + value * lost
        + value * placement::WAITING_COST_PER_S * estimate_ms / 1_000.0
        + placement::count_f64(helpers.len()) * placement::HELPER_COST
        + placement::count_f64(reservations) * placement::RESERVATION_COST
        + primary_cost(home, field, need)
        + backlog_cost(home, own_part_ms)
        + risk_cost(home, value);
    let helpers = helpers
        .iter()
        .zip(held)
        .map(|(helper, held_tokens)| load_tracker::Helper {
            server: helper.server.server.id.clone(),
            held_tokens,
        });
    Placed {
        primary: home.server.id.clone(),
        helpers: helpers.collect(),
        shard_ms: part_ms,
        estimate_ms,
        cost: price,
        interference: own_harm + helpers_harm,
    }
}

/// Returns the cost of decoding on a server.
fn primary_cost(
    home: &snapshot::ServerSnapshot<'_>,
    field: &snapshot::Snapshot<'_>,
    need: &Need,
) -> f64 {
    let packed = field.packed_jobs;
    let homes = placement::count_f64(home.load.primary_jobs.len());
    let crowding = (homes + 1.0 - packed).max(0.0) * placement::CROWDING_COST;
    let alike = home.load.similar_jobs(need.gap_objective_ms);
    let spreading = (1.0 - placement::count_f64(alike) / packed).max(0.0);
    // Requests with short gap objectives suffer from prefills on the same server.
    let lost =
        lateness::expected_gap_loss(home.decode_gap_ms(), need.gap_objective_ms) * need.weight();
    let near = if home.is_local {
        0.0
    } else {
        placement::REMOTE_COST
    };
    crowding + spreading * placement::SPREADING_COST + near + home.bias + lost
}

/// Returns the cost to later requests.
fn backlog_cost(spot: &snapshot::ServerSnapshot<'_>, part_ms: f64) -> f64 {
    (spot.backlog_ms + part_ms) * part_ms / 1e6 * placement::BACKLOG_COST_PER_S
}

/// Returns the cost of the risk that a server fails.
fn risk_cost(spot: &snapshot::ServerSnapshot<'_>, value: f64) -> f64 {
    let cold = if spot.is_cold {
        placement::COLD_COST
    } else {
        0.0
    };
    cold + value * placement::FAILURE_COST * spot.failure_score.min(2.0)
}
