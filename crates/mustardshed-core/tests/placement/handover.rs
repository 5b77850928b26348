//! The last order of one lease holder and the first of the next.

use std::{ops, time};

use googletest::prelude::*;

use super::{fault_free, fleet};

/// Start times of the scenario in milliseconds; they cover every phase of lease reads and writes.
const STARTS_MS: ops::Range<u64> = 20_000..41_000;
/// Durations for which the engine does not answer, in milliseconds.
const SILENCES_MS: ops::Range<u64> = 7500..12_000;

#[gtest]
fn last_call_of_a_holder_ends_before_the_next_holder_orders() {
    for start in STARTS_MS.step_by(500) {
        for silence in SILENCES_MS.step_by(300) {
            let mut fleet = fault_free::placed_fleet();
            fleet.text.models.get_mut("o").unwrap().adapters.clear();
            fleet.advance(time::Duration::from_millis(start));

            late_order(&mut fleet, time::Duration::from_millis(silence));

            assert_that!(fleet.violations, is_empty());
        }
    }
}

/// Cuts the holder off from the platform when it has one load recorded.
///
/// The engine of that load answers again only after `silence`, and slowly; then another engine
/// loses its model.
fn late_order(fleet: &mut fleet::Fleet, silence: time::Duration) {
    restart(fleet, "g0");
    fleet.advance_to(fleet::is_read);
    for engine in fleet.engines.values_mut() {
        engine.is_slow = true;
    }
    set_alive(fleet, "g0", false);
    fleet.platform.cut = fleet.holder();
    fleet.advance(silence);
    set_alive(fleet, "g0", true);
    restart(fleet, "g1");
    fleet.advance(time::Duration::from_secs(10));
}

fn restart(fleet: &mut fleet::Fleet, engine: &str) {
    set_alive(fleet, engine, false);
    set_alive(fleet, engine, true);
}

fn set_alive(fleet: &mut fleet::Fleet, engine: &str, is_alive: bool) {
    let engine = fleet.engines.get_mut(engine);
    engine.unwrap().set_alive(is_alive);
}
