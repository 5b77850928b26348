//! Warmth of a backend server in the view of its steward.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{boundary::backend_server, ids, process::ramp};

const WARM_AFTER: u32 = 2;

fn at_ms(ms: u64) -> ids::Timestamp {
    time::Duration::from_millis(ms)
}

fn warm_report(epoch: ids::Epoch) -> backend_server::LoadReport {
    backend_server::LoadReport {
        epoch,
        warmth: backend_server::Warmth::Warm,
        leaving: false,
        age: time::Duration::ZERO,
        memory_tokens: 1000,
        used_tokens: 0,
        queued_prefill_tokens: 0,
        running: 0,
        models: collections::BTreeMap::new(),
        held: Vec::new(),
    }
}

fn warm_ramp() -> ramp::Ramp {
    let mut ramp = ramp::Ramp::default();
    ramp.on_report(at_ms(100), &warm_report(1), WARM_AFTER, at_ms(100));
    ramp
}

#[gtest]
fn late_report_does_not_bring_an_earlier_epoch_back() {
    let mut ramp = warm_ramp();
    ramp.observe_epoch(2, at_ms(1000));

    let is_sign = ramp.on_report(at_ms(900), &warm_report(1), WARM_AFTER, at_ms(1010));

    expect_that!(is_sign, is_false());
    expect_that!(ramp.epoch(), some(eq(2)));
    expect_that!(ramp.is_cold(), is_true());
}

#[gtest]
fn late_answer_does_not_bring_an_earlier_epoch_back() {
    let mut ramp = warm_ramp();
    ramp.observe_epoch(2, at_ms(1000));

    let is_sign = ramp.observe_epoch(1, at_ms(1010));

    expect_that!(is_sign, is_false());
    expect_that!(ramp.epoch(), some(eq(2)));
}

#[gtest]
fn restarted_epoch_count_is_accepted_at_the_next_report() {
    let mut ramp = warm_ramp();
    ramp.observe_epoch(7, at_ms(1000));

    let is_sign = ramp.on_report(at_ms(1100), &warm_report(1), WARM_AFTER, at_ms(1110));

    expect_that!(is_sign, is_true());
    expect_that!(ramp.epoch(), some(eq(1)));
}

#[gtest]
fn server_is_warm_again_after_enough_work_and_a_warm_report() {
    let mut ramp = warm_ramp();
    ramp.observe_epoch(2, at_ms(1000));

    ramp.request_finished();
    ramp.on_report(at_ms(1100), &warm_report(2), WARM_AFTER, at_ms(1100));
    let is_cold_after_one = ramp.is_cold();
    ramp.request_finished();
    ramp.on_report(at_ms(1200), &warm_report(2), WARM_AFTER, at_ms(1200));

    expect_that!(is_cold_after_one, is_true());
    expect_that!(ramp.is_cold(), is_false());
}
