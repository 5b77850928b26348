//! Load pattern: very long prompts beside short requests.

use googletest::prelude::*;
use mustardshed_core::forward::placement;

use crate::fixtures;

#[gtest]
fn long_prompt_is_prefilled_by_engines_that_do_not_decode() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(16);
    for server in ["engine-03", "engine-07", "engine-11"] {
        fleet.decode_short_requests(server, 10, fixtures::START);
    }

    let placed = fleet.place(
        &fixtures::long_request(210_000, fixtures::START),
        fixtures::START,
    );

    let placed = placed.expect("a placement");
    let prefill_servers = fixtures::prefill_servers(&placed);
    expect_that!(prefill_servers.len(), ge(3));
    for busy in ["engine-03", "engine-07", "engine-11"] {
        expect_that!(prefill_servers, not(contains(eq(&busy))));
    }
    verify_that!(placed.estimate_ms, lt(3_000.0))
}

#[gtest]
fn huge_prompt_is_prefilled_by_many_engines_while_the_fleet_is_idle() -> Result<()> {
    let fleet = fixtures::Fleet::new(16);

    let placed = fleet.place(
        &fixtures::long_request(600_000, fixtures::START),
        fixtures::START,
    );

    let placed = placed.expect("a placement");
    expect_that!(placed.helpers.len(), ge(7));
    verify_that!(placed.estimate_ms, lt(3_000.0))
}

#[gtest]
fn prompt_beyond_the_memory_of_one_engine_is_held_by_helpers() -> Result<()> {
    let fleet = fixtures::Fleet::new(16);
    let need = fixtures::long_request(700_000, fixtures::START);

    let placed = fleet.place(&need, fixtures::START).expect("a placement");

    let job = placed.job(&need);
    let at_home = need.prompt_tokens - job.held_tokens().min(need.prompt_tokens);
    expect_that!(at_home + need.output_tokens, le(450_000));
    for helper in &job.helpers {
        expect_that!(helper.held_tokens, le(450_000));
    }
    Ok(())
}

#[gtest]
fn helpers_without_free_memory_hold_nothing() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(4);
    for server in ["engine-02", "engine-03"] {
        let mut job = placement::Placed::plain(&server.to_owned())
            .job(&fixtures::long_request(420_000, fixtures::START));
        job.is_decoding = true;
        job.weight = 0.0;
        fleet.start(job, fixtures::START);
    }
    let need = fixtures::long_request(460_000, fixtures::START);

    let placed = fleet.place(&need, fixtures::START).expect("a placement");

    let full = ["engine-02".to_owned(), "engine-03".to_owned()];
    let holding = placed
        .helpers
        .iter()
        .filter(|helper| helper.held_tokens > 1_000);
    let holding: Vec<_> = holding.map(|helper| helper.server.clone()).collect();
    expect_that!(full, not(contains(eq(&placed.primary))));
    expect_that!(holding.len(), eq(1));
    verify_that!(full, not(contains(eq(&holding[0]))))
}

#[gtest]
fn long_request_that_would_make_many_others_late_is_refused_at_once() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(4);
    for server in ["engine-00", "engine-01", "engine-02", "engine-03"] {
        for _ in 0..3 {
            let need = fixtures::long_request(60_000, fixtures::START);
            let mut job = placement::Placed::plain(&server.to_owned()).job(&need);
            job.shard_ms = 800.0;
            fleet.start(job, fixtures::START);
        }
    }

    let placed = fleet.place(
        &fixtures::long_request(600_000, fixtures::START),
        fixtures::START,
    );

    verify_that!(
        placed,
        err(matches_pattern!(placement::NotPlaced::TooCostly { .. }))
    )
}

#[gtest]
fn retried_request_is_placed_whatever_it_costs_others() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(4);
    for server in ["engine-00", "engine-01", "engine-02", "engine-03"] {
        fleet.decode_short_requests(server, 14, fixtures::START);
    }
    let first = fixtures::long_request(210_000, fixtures::START);
    let failed = placement::Need {
        is_retry: true,
        ..first
    };

    let refused = fleet.place(&first, fixtures::START);
    let served = fleet.place(&failed, fixtures::START);

    expect_that!(
        refused,
        err(matches_pattern!(placement::NotPlaced::TooCostly { .. }))
    );
    verify_that!(served, ok(anything()))
}

#[gtest]
fn medium_request_beside_long_ones_begins_on_time() -> Result<()> {
    let mut fleet = fixtures::Fleet::new(16);
    for _ in 0..3 {
        fleet.send(
            &fixtures::long_request(210_000, fixtures::START),
            fixtures::START,
        );
    }

    let placed = fleet.place(&fixtures::medium_request(fixtures::START), fixtures::START);

    verify_that!(placed.expect("a placement").estimate_ms, lt(1_500.0 * 0.65))
}
