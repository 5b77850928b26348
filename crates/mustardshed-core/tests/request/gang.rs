//! Gang plans: the fewest engines of one kind and data centre, ordered by name, with equal parts.

use std::time;

use googletest::prelude::*;
use mustardshed_core::request::gang;

use crate::fixtures;

const NOW: time::Duration = time::Duration::from_secs(1);

#[gtest]
fn only_work_beyond_one_engines_memory_needs_a_gang() -> Result<()> {
    let text = fixtures::text();

    let fits = gang::is_needed(&fixtures::prompt(&text, 999_900, 1));
    let exceeds = gang::is_needed(&fixtures::prompt(&text, 999_901, 1));

    verify_that!((fits, exceeds), eq((false, true)))
}

#[gtest]
fn gang_has_the_fewest_engines_that_hold_the_work_ordered_by_name() -> Result<()> {
    let mut snapshot = fixtures::snapshot(12);
    for server in snapshot.servers.values_mut() {
        server.running = u32::from(server.data_centre != "b");
    }
    let text = fixtures::text();

    let plan = gang::plan(&snapshot, &fixtures::prompt(&text, 2_500_000, 1), NOW);

    let plan = plan.expect("there are four engines in each data centre");
    let names: Vec<_> = plan.engines.iter().map(|e| e.server.as_str()).collect();
    verify_that!(names, elements_are![eq(&"r01"), eq(&"r04"), eq(&"r07")])?;
    verify_that!(plan.data_centre, eq("b"))?;
    verify_that!(plan.tokens_each, eq(2_500_100_u64.div_ceil(3)))
}

#[gtest]
fn excluded_engines_are_left_out() -> Result<()> {
    let mut snapshot = fixtures::snapshot(9);
    snapshot.data_centres_out.insert("a".to_owned());
    for id in ["r01", "r02"] {
        snapshot
            .servers
            .get_mut(id)
            .expect("there are nine")
            .leaving = true;
    }
    let text = fixtures::text();

    let three = gang::plan(&snapshot, &fixtures::prompt(&text, 2_500_000, 1), NOW);
    let two = gang::plan(&snapshot, &fixtures::prompt(&text, 1_500_000, 1), NOW);

    verify_that!(three, none())?;
    verify_that!(two.map(|plan| plan.engines.len()), some(eq(2)))
}

#[gtest]
fn work_beyond_the_largest_gang_has_no_plan() -> Result<()> {
    let snapshot = fixtures::snapshot(60);
    let text = fixtures::text();

    let plan = gang::plan(&snapshot, &fixtures::prompt(&text, 8_000_000, 1), NOW);

    verify_that!(plan, none())
}
