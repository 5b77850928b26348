//! Routing: which servers are excluded or preferred, and that entries spread their choices.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{
    boundary::backend_server,
    process::snapshot,
    request::{
        priority_class,
        route::{self, exclusion::Exclusion, work},
    },
};

use crate::fixtures;

const NOW: time::Duration = time::Duration::from_secs(1);

#[gtest]
fn each_reason_excludes_a_server() -> Result<()> {
    type Change = fn(&mut snapshot::Snapshot);
    let cases: [(Change, Exclusion); 9] = [
        (
            |s| {
                s.data_centres_out.insert("a".to_owned());
            },
            Exclusion::DataCentreOut,
        ),
        (|s| only(s).leaving = true, Exclusion::Leaving),
        (|s| only(s).reachable = false, Exclusion::NotReported),
        (
            |s| {
                only(s).reachable = false;
                only(s).reported_at = NOW;
            },
            Exclusion::Unreachable,
        ),
        (|s| only(s).steward = None, Exclusion::NoSteward),
        (|s| only(s).models.clear(), Exclusion::ModelNotLoaded),
        (
            |s| {
                only(s).models.insert("m".to_owned(), "0".to_owned());
            },
            Exclusion::OtherVersion,
        ),
        (|s| only(s).memory_tokens = 1_000, Exclusion::TooSmall),
        (|s| only(s).id = "tried".to_owned(), Exclusion::Tried),
    ];
    for (change, reason) in cases {
        let mut snapshot = fixtures::snapshot(1);
        change(&mut snapshot);
        let text = fixtures::text();
        let tried = ["tried".to_owned()];
        let work = fixtures::prompt(&text, 2_000, 1).tried(&tried);

        let decided = route::decide(&snapshot, &work, NOW);

        let is_all_excluded = decided.err().map(|none| none.is_all_excluded_by(reason));
        verify_that!(is_all_excluded, some(eq(true)))
            .with_failure_message(|| reason.to_string())?;
    }
    Ok(())
}

#[gtest]
fn servers_of_another_kind_are_not_considered() -> Result<()> {
    let mut snapshot = fixtures::snapshot(1);
    only(&mut snapshot).kind = "other".to_owned();
    let text = fixtures::text();

    let decided = route::decide(&snapshot, &fixtures::prompt(&text, 10, 1), NOW);

    verify_that!(decided.err().map(|none| none.excluded.len()), some(eq(0)))
}

#[gtest]
fn each_drawback_makes_a_server_second_choice() -> Result<()> {
    type Change = fn(&mut snapshot::ServerView);
    let drawbacks: [(&str, Change); 7] = [
        ("queue", |s| {
            s.queued_prefill_tokens = 50_000;
            s.running = 7;
        }),
        ("slow", |s| s.prefill_tokens_per_second = 1_000.0),
        ("cold", |s| s.warmth = backend_server::Warmth::Cold),
        ("full", |s| s.running = 8),
        ("memory", |s| s.used_tokens = 999_999),
        ("old report", |s| s.reported_at = time::Duration::ZERO),
        ("far", |s| s.data_centre = "far".to_owned()),
    ];
    for (name, drawback) in drawbacks {
        let mut snapshot = fixtures::snapshot(2);
        let far = time::Duration::from_millis(5);
        snapshot.latencies.insert("far".to_owned(), far);
        for server in snapshot.servers.values_mut() {
            server.reported_at = NOW;
        }
        drawback(snapshot.servers.get_mut("r00").expect("there are two"));
        let text = fixtures::text();

        let decided = route::decide(&snapshot, &fixtures::prompt(&text, 2_000, 1), NOW);

        let server = decided.ok().map(|decision| decision.server);
        verify_that!(server, some(eq("r01"))).with_failure_message(|| name.to_owned())?;
    }
    Ok(())
}

#[gtest]
fn cached_prefix_attracts_until_the_queue_outweighs_it() -> Result<()> {
    let text = fixtures::text();
    let prefix = work::CachedPrefix {
        server: "r07".to_owned(),
        tokens: 5_000,
    };
    let work = fixtures::prompt(&text, 6_000, 3).cached_prefix(Some(prefix));
    let idle = fixtures::snapshot(40);
    let mut busy = idle.clone();
    let server = busy.servers.get_mut("r07").expect("there are 40");
    server.running = 7;
    server.queued_prefill_tokens = 40_000;

    let preferred = route::decide(&idle, &work, NOW).ok();
    let avoided = route::decide(&busy, &work, NOW).ok();

    let preferred = preferred.map(|d| (d.server, d.prefill_tokens));
    verify_that!(preferred, some(eq(&("r07".to_owned(), 1_000))))?;
    verify_that!(avoided.map(|d| d.server == "r07"), some(eq(false)))
}

#[gtest]
fn long_queue_delays_short_prompts_by_their_own_priority_class_only() -> Result<()> {
    let mut snapshot = fixtures::snapshot(1);
    only(&mut snapshot).queued_prefill_tokens = 900_000;
    only(&mut snapshot).running = 1;
    let text = fixtures::text();

    let short = route::decide(&snapshot, &fixtures::prompt(&text, 1_000, 1), NOW);
    let long = route::decide(&snapshot, &fixtures::prompt(&text, 500_000, 1), NOW);

    let queue = |d: route::decision::Decision| d.estimate.queue.as_millis();
    verify_that!(short.ok().map(queue), some(eq(819)))?;
    verify_that!(long.ok().map(queue), some(eq(90_000)))
}

#[gtest]
fn entries_with_the_same_snapshot_spread_their_choices() -> Result<()> {
    let snapshot = fixtures::snapshot(26);
    let text = fixtures::text();

    let chosen: collections::BTreeSet<_> = (0..200)
        .filter_map(|seed| {
            let work = fixtures::prompt(&text, 2_000, seed);
            route::decide(&snapshot, &work, NOW).ok()
        })
        .map(|decision| decision.server)
        .collect();

    verify_that!(chosen.len(), ge(20))
}

#[gtest]
fn few_usable_servers_of_a_large_fleet_are_found() -> Result<()> {
    let mut snapshot = fixtures::snapshot(99);
    for server in snapshot.servers.values_mut() {
        server.reachable = server.id == "r61";
    }
    let text = fixtures::text();

    let found = (0..50).all(|seed| {
        let work = fixtures::prompt(&text, 2_000, seed);
        route::decide(&snapshot, &work, NOW).is_ok_and(|d| d.server == "r61")
    });

    verify_that!(found, eq(true))
}

#[gtest]
fn large_fleet_is_used_evenly() -> Result<()> {
    let snapshot = fixtures::snapshot(99);
    let text = fixtures::text();

    let chosen: collections::BTreeSet<_> = (0..2_000)
        .filter_map(|seed| {
            let work = fixtures::prompt(&text, 2_000, seed);
            route::decide(&snapshot, &work, NOW).ok()
        })
        .map(|decision| decision.server)
        .collect();

    verify_that!(chosen.len(), eq(99))
}

#[gtest]
fn same_seed_gives_the_same_decision() -> Result<()> {
    let snapshot = fixtures::snapshot(26);
    let text = fixtures::text();
    let work = fixtures::prompt(&text, 2_000, 11);

    let first = route::decide(&snapshot, &work, NOW).ok();
    let second = route::decide(&snapshot, &work, NOW).ok();

    verify_that!(first, some(anything()))?;
    verify_that!(first, eq(&second))
}

#[gtest]
fn priority_classes_are_ordered_by_length() -> Result<()> {
    let classes =
        [1, 8_192, 8_193, 131_072, 131_073].map(priority_class::PriorityClass::for_prompt);

    let priorities = classes.map(priority_class::PriorityClass::priority);

    verify_that!(priorities, eq([0, 0, 1, 2, 3]))
}

fn only(snapshot: &mut snapshot::Snapshot) -> &mut snapshot::ServerView {
    match snapshot.servers.values_mut().next() {
        Some(server) => server,
        None => unreachable!("the fixture has one"),
    }
}
