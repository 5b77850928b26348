//! Prices of the ways to place one request with a given number of helpers.

use crate::{
    forward::{
        lateness, ledger,
        placement::{self, Need, Placed, field},
    },
    ids,
};

/// Least tokens that a helper is asked to hold; smaller reservations are not worth an order.
const LEAST_HELD_TOKENS: ids::Tokens = 2_000;

/// Prices each server as the one that answers, with the best `count` others as helpers, each of
/// which reads for `part_ms`.
pub(super) fn homes<'f>(
    field: &'f field::Field<'f>,
    need: &'f Need,
    part_ms: f64,
    count: usize,
) -> impl Iterator<Item = Placed> + 'f {
    let readers = readers(field, need, part_ms, count);
    field.spots.iter().enumerate().filter_map(move |(i, home)| {
        if !home.has_place(field.profile) {
            return None;
        }
        let helpers: Vec<&Reader<'_>> = readers
            .iter()
            .filter(|reader| reader.place != i)
            .take(count)
            .collect();
        if helpers.len() < count {
            return None;
        }
        let held = held(home, &helpers, field, need)?;
        Some(price(field, home, &helpers, held, need, part_ms))
    })
}

/// A server that would read a part.
struct Reader<'f> {
    place: usize,
    spot: &'f field::Spot<'f>,
    /// Price of its reading.
    price: f64,
    /// Part of the price that others lose.
    harm: f64,
    /// Time after which the part is read, in milliseconds.
    done_ms: f64,
}

/// Returns the servers that may read a part, the cheapest first, with one to spare.
fn readers<'f>(
    field: &'f field::Field<'f>,
    need: &Need,
    part_ms: f64,
    count: usize,
) -> Vec<Reader<'f>> {
    if count == 0 {
        return Vec::new();
    }
    let spots = field.spots.iter().enumerate();
    let spots = spots.filter(|(_, spot)| spot.may_help(field.profile));
    let readers = spots.map(|(place, spot)| {
        let part_ms = part_ms * spot.pace;
        let done_ms = spot.done_ms(part_ms);
        let harm = field.harm(spot, part_ms);
        let price = harm
            + of_risk(spot, need.value())
            + done_ms / 1_000.0 * placement::PRICE_OF_WAITING_S
            + of_backlog(spot, part_ms);
        Reader {
            place,
            spot,
            price,
            harm,
            done_ms,
        }
    });
    let mut readers: Vec<Reader<'f>> = readers.collect();
    readers.sort_by(|a, b| a.price.total_cmp(&b.price));
    readers.truncate(count + 1);
    readers
}

/// Returns the tokens that each helper must hold so that the rest fits at home, or none if it does
/// not fit.
fn held(
    home: &field::Spot<'_>,
    helpers: &[&Reader<'_>],
    field: &field::Field<'_>,
    need: &Need,
) -> Option<Vec<ids::Tokens>> {
    let room = home.room(field.profile);
    let mut left = (need.prompt_tokens + need.answer_tokens).saturating_sub(room);
    if left > need.prompt_tokens {
        return None;
    }
    let mut held = vec![0; helpers.len()];
    let mut by_room: Vec<(ids::Tokens, usize)> = helpers
        .iter()
        .enumerate()
        .map(|(i, helper)| (helper.spot.room(field.profile), i))
        .collect();
    by_room.sort_unstable_by(|a, b| b.cmp(a));
    for (room, i) in by_room {
        if left == 0 {
            break;
        }
        held[i] = room.min(left.max(LEAST_HELD_TOKENS));
        left = left.saturating_sub(room);
    }
    (left == 0).then_some(held)
}

fn price(
    field: &field::Field<'_>,
    home: &field::Spot<'_>,
    helpers: &[&Reader<'_>],
    held: Vec<ids::Tokens>,
    need: &Need,
    part_ms: f64,
) -> Placed {
    let value = need.value();
    let own_part_ms = part_ms * home.pace;
    // A prompt that is read alone waits for its turn; the parts of a shared one go first.
    let is_alone = helpers.is_empty();
    let ahead_ms = if is_alone { home.backlog_ms } else { 0.0 };
    let own_done_ms = home.done_ms(own_part_ms).max(ahead_ms + own_part_ms);
    let read_by = helpers
        .iter()
        .map(|helper| helper.done_ms)
        .fold(own_done_ms, f64::max);
    let estimate_ms = read_by + field.profile.step_ms;
    let waited_ms = field.now.saturating_sub(need.arrived_at).as_secs_f64() * 1_000.0;
    let lost = lateness::loss(waited_ms + estimate_ms, need.objective_ms, need.patience_ms);
    let at_helpers: f64 = helpers.iter().map(|helper| helper.price).sum();
    let helpers_harm: f64 = helpers.iter().map(|helper| helper.harm).sum();
    let reservations = held.iter().filter(|tokens| **tokens > 0).count();
    let own_harm = field.harm(home, own_part_ms);
    let price = own_harm
        + at_helpers
        + value * lost
        + value * placement::PRICE_OF_WAITING_S * estimate_ms / 1_000.0
        + placement::count_f64(helpers.len()) * placement::PRICE_OF_HELPER
        + placement::count_f64(reservations) * placement::PRICE_OF_RESERVATION
        + of_home(home, field, need)
        + of_backlog(home, own_part_ms)
        + of_risk(home, value);
    let helpers = helpers
        .iter()
        .zip(held)
        .map(|(helper, held_tokens)| ledger::Helper {
            server: helper.spot.server.id.clone(),
            held_tokens,
        });
    Placed {
        home: home.server.id.clone(),
        helpers: helpers.collect(),
        part_ms,
        estimate_ms,
        price,
        harm: own_harm + helpers_harm,
    }
}

/// Returns the price of writing at a server.
fn of_home(home: &field::Spot<'_>, field: &field::Field<'_>, need: &Need) -> f64 {
    let packed = field.together;
    let homes = placement::count_f64(home.load.homes.len());
    let crowding = (homes + 1.0 - packed).max(0.0) * placement::PRICE_OF_CROWDING;
    let alike = home.load.homes_within(need.gap_ms);
    let spreading = (1.0 - placement::count_f64(alike) / packed).max(0.0);
    // Writers with short pauses suffer from whoever is read beside them.
    let lost = lateness::loss_by_pause(home.pause_ms(), need.gap_ms) * need.value();
    let near = if home.is_near {
        0.0
    } else {
        placement::PRICE_OF_DISTANCE
    };
    crowding + spreading * placement::PRICE_OF_SPREADING + near + home.bias + lost
}

/// Returns the price of what later requests find at a server.
fn of_backlog(spot: &field::Spot<'_>, part_ms: f64) -> f64 {
    (spot.backlog_ms + part_ms) * part_ms / 1e6 * placement::PRICE_OF_BACKLOG_S
}

/// Returns the price of the chance that a server fails.
fn of_risk(spot: &field::Spot<'_>, value: f64) -> f64 {
    let cold = if spot.is_cold {
        placement::PRICE_OF_COLD
    } else {
        0.0
    };
    cold + value * placement::PRICE_OF_FAILURE * spot.failures.min(2.0)
}
