//! Placement without faults in entries, network or platform.

use std::time;

use googletest::prelude::*;
use mustardshed_core::boundary::backend_server::Order;

use super::{fixtures, fleet, unplaced};

const MINUTE: time::Duration = time::Duration::from_secs(60);

/// Returns a fleet whose engines hold the configured models, in equal shares.
pub fn placed_fleet() -> fleet::Fleet {
    let mut engines = fixtures::engines();
    for (index, engine) in engines.values_mut().enumerate() {
        let model = match engine.kind {
            "g" => "o",
            _ => ["m", "n"][index % 2],
        };
        engine.models.insert(model.to_owned(), "1".to_owned());
    }
    fleet::Fleet::new(engines)
}

fn loaded(fleet: &fleet::Fleet) -> Vec<&str> {
    let orders = fleet.orders.iter();
    orders
        .filter_map(|(_, order)| match order {
            Order::LoadModel { model, .. } => Some(model.as_str()),
            _ => None,
        })
        .collect()
}

#[gtest]
fn engines_with_the_configured_models_get_no_orders() {
    let mut fleet = placed_fleet();
    fleet.text.models.get_mut("o").unwrap().adapters.clear();

    fleet.advance(3 * MINUTE);

    expect_that!(fleet.orders, is_empty());
}

#[gtest]
fn adapter_is_ordered_once_for_each_engine_of_its_model() {
    let mut fleet = placed_fleet();

    fleet.advance(3 * MINUTE);

    let adapter = Order::LoadAdapter {
        adapter: "x".to_owned(),
    };
    let expected = ["g0", "g1", "g2", "g3"].map(|id| (id.to_owned(), adapter.clone()));
    expect_that!(fleet.orders, container_eq(expected));
}

#[gtest]
fn dependencies_are_loaded_first() {
    let mut fleet = fleet::Fleet::new(fixtures::engines());

    fleet.advance(MINUTE);

    let mut first = Vec::new();
    for model in loaded(&fleet) {
        if !first.contains(&model) {
            first.push(model);
        }
    }
    expect_that!(first, elements_are![&"o", &"m", &"n"]);
    expect_that!(unplaced(&fleet), is_empty());
}

#[gtest]
fn only_engine_of_a_model_is_replaced_once_it_is_gone() {
    let mut fleet = placed_fleet();
    for id in ["k1", "k3"] {
        fleet.engines.get_mut(id).unwrap().models = [("m".to_owned(), "1".to_owned())].into();
    }
    fleet.advance(MINUTE);
    fleet.orders.clear();

    fleet.engines.get_mut("k5").unwrap().is_leaving = true;
    fleet.advance(MINUTE);

    expect_that!(loaded(&fleet), elements_are![&"n"]);
}

#[gtest]
fn last_engine_of_a_model_gets_no_other_model() {
    let mut fleet = placed_fleet();
    for id in ["k2", "k3", "k4", "k5"] {
        fleet.engines.remove(id);
    }
    let mut third = fleet.text.models["m"].clone();
    third.name = "l".to_owned();
    fleet.text.models.insert(third.name.clone(), third);

    fleet.advance(3 * MINUTE);

    expect_that!(loaded(&fleet), is_empty());
}

#[gtest]
fn busy_model_gets_an_engine_of_an_idle_one() {
    let mut fleet = placed_fleet();
    for id in ["k0", "k2", "k4"] {
        let engine = fleet.engines.get_mut(id).unwrap();
        engine.used_tokens = 900;
    }

    fleet.advance(3 * MINUTE);

    let busy = fleet.engines["k0"].models.keys().next().unwrap();
    expect_that!(loaded(&fleet), not(is_empty()));
    expect_that!(loaded(&fleet), each(eq(&busy.as_str())));
}

#[gtest]
fn data_centre_gets_orders_only_after_it_returns_to_service() {
    let mut fleet = placed_fleet();
    fleet.data_centres_out.insert("b".to_owned());
    fleet.advance(MINUTE);
    for model in fleet.text.models.values_mut() {
        model.version = "2".to_owned();
    }
    fleet.advance(2 * MINUTE);
    let ordered = fleet.orders.clone();

    fleet.data_centres_out.clear();
    fleet.advance(2 * MINUTE);

    let is_out = |id: &str| fleet.engines[id].data_centre == "b";
    expect_that!(ordered.iter().any(|(id, _)| is_out(id)), is_false());
    expect_that!(unplaced(&fleet), is_empty());
}
