//! Prices of the ways to place one request with a given number of helpers.

use crate::{
    forward::{
        engine,
        placement::{self, Need, Placed, Spot},
    },
    ids,
};

/// Prices each server as the one that answers, with the best `count` others as helpers.
pub(super) fn homes<'a>(
    spots: &'a [Spot<'a>],
    profile: &'a engine::Profile,
    need: &'a Need,
    read_ms: f64,
    count: usize,
) -> impl Iterator<Item = Placed> + 'a {
    let helpers: Vec<&Spot<'_>> = spots
        .iter()
        .filter(|spot| spot.load.parts < usize::try_from(profile.slots).unwrap_or(usize::MAX))
        .take(count + 1)
        .collect();
    spots.iter().filter_map(move |home| {
        let helpers = helpers
            .iter()
            .filter(|helper| helper.server.id != home.server.id);
        let helpers: Vec<&Spot<'_>> = helpers.take(count).copied().collect();
        if helpers.len() < count {
            return None;
        }
        let held_tokens = held_tokens(home, &helpers, profile, need)?;
        Some(price(home, &helpers, held_tokens, profile, need, read_ms))
    })
}

/// Returns the tokens that each helper must hold so that the rest fits at home, or none if it does
/// not fit.
fn held_tokens(
    home: &Spot<'_>,
    helpers: &[&Spot<'_>],
    profile: &engine::Profile,
    need: &Need,
) -> Option<ids::Tokens> {
    let slots = usize::try_from(profile.slots.min(home.server.slots.max(1))).unwrap_or(usize::MAX);
    if home.load.homes >= slots {
        return None;
    }
    let all = need.prompt_tokens + need.answer_tokens;
    let room = room(home, profile);
    if all <= room {
        return Some(0);
    }
    let count = ids::Tokens::try_from(helpers.len()).ok()?;
    // The part that stays at home is not smaller than the others.
    let held = (all - room.min(all))
        .max(need.prompt_tokens / (count + 1))
        .checked_div(count)?
        + 1;
    helpers
        .iter()
        .all(|helper| room_of_helper(helper, profile) >= held)
        .then_some(held)
}

fn room(spot: &Spot<'_>, profile: &engine::Profile) -> ids::Tokens {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a memory's size is one, too"
    )]
    let size = (engine::tokens_f64(profile.memory_tokens) * placement::MEMORY_SHARE) as ids::Tokens;
    size.saturating_sub(spot.load.memory_tokens)
}

fn room_of_helper(spot: &Spot<'_>, profile: &engine::Profile) -> ids::Tokens {
    room(spot, profile)
}

fn price(
    home: &Spot<'_>,
    helpers: &[&Spot<'_>],
    held_tokens: ids::Tokens,
    profile: &engine::Profile,
    need: &Need,
    read_ms: f64,
) -> Placed {
    let parts = placement::count_f64(helpers.len()) + 1.0;
    let part_ms = read_ms / parts;
    let value = need.value();
    let readers = || std::iter::once(home).chain(helpers.iter().copied());
    let read_by = readers()
        .map(|spot| finish_ms(spot, part_ms))
        .fold(0.0, f64::max);
    let estimate_ms = read_by + profile.step_ms + home.pass_ms / 2.0;
    let late = placement::lateness(estimate_ms / need.objective_ms.max(1.0));
    let harm: f64 = readers().map(|spot| spot.harm(part_ms * spot.pace)).sum();
    let price = harm
        + value * placement::LOST_BY_LATENESS * late
        + value * placement::PRICE_OF_WAITING_MS * estimate_ms
        + (parts - 1.0) * placement::PRICE_OF_HELPER
        + of_home(home, profile, need)
        + readers().map(|spot| of_risk(spot, value)).sum::<f64>();
    Placed {
        home: home.server.id.clone(),
        helpers: helpers
            .iter()
            .map(|helper| helper.server.id.clone())
            .collect(),
        held_tokens,
        part_ms,
        estimate_ms,
        price,
    }
}

/// Returns when a server has read its part, in milliseconds from now.
fn finish_ms(spot: &Spot<'_>, part_ms: f64) -> f64 {
    // Whoever writes holds the pass that is under way.
    let pass = if spot.load.writers.is_empty() {
        0.0
    } else {
        spot.pass_ms / 2.0
    };
    spot.backlog_ms + pass + part_ms * spot.pace
}

/// Returns the price of writing at a server.
fn of_home(home: &Spot<'_>, profile: &engine::Profile, need: &Need) -> f64 {
    let packed = f64::from(profile.slots.max(1)) * placement::PACKED_SHARE;
    let homes = placement::count_f64(home.load.homes);
    let crowding = (homes + 1.0 - packed).max(0.0) * placement::PRICE_OF_CROWDING;
    let alike = home.load.homes_within(need.gap_ms);
    let spreading = (1.0 - placement::count_f64(alike) / packed).max(0.0);
    // Writers with short pauses suffer from whoever is read beside them.
    let own_pause = home.pass_ms + home.backlog_ms;
    let late = placement::lateness(own_pause / need.gap_ms.max(1.0));
    let near = if home.is_near { 0.0 } else { placement::PRICE_OF_DISTANCE };
    crowding
        + spreading * placement::PRICE_OF_SPREADING
        + near
        + late * need.value() * placement::LOST_BY_LATENESS / 2.0
}

/// Returns the price of the chance that a server fails.
fn of_risk(spot: &Spot<'_>, value: f64) -> f64 {
    let cold = if spot.is_cold {
        placement::PRICE_OF_COLD
    } else {
        0.0
    };
    cold + value * placement::PRICE_OF_FAILURE * spot.failures.min(2.0)
}
