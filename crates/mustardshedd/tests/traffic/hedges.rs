//! Hedges: a second engine for a late first token, one stream read, the other cancelled.

use std::{sync, time};

use googletest::prelude::*;
use mustardshed::core::{error, request::hedge};
use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    prop_assert, prop_assert_eq, proptest,
    test_runner::{self, TestCaseError},
};

use crate::fakes::{
    servers::{self, After, Step},
    world,
};

/// Time beyond twice the estimate after which a first token is late here.
const ALLOWANCE: time::Duration = time::Duration::from_millis(5);
/// Whole output of a prompt.
const OUTPUT: &str = "t0 t1 t2 ";
/// Hedges that a new budget pays for.
const NEW_BUDGET: usize = 3;
/// Cases of the bounded run.
const CASES: u32 = 24;
/// Seed of the bounded run.
const SEED: u64 = 5;

async fn start() -> world::World {
    world::World::start_hedging(Some(ALLOWANCE)).await
}

fn silent() -> Step {
    Step::Stream(vec![], After::Stall)
}

fn text(answer: &world::Answer) -> String {
    let body = answer.json();
    let text = body["choices"][0]["text"].as_str();
    text.unwrap_or_default().to_owned()
}

#[gtest]
#[tokio::test]
async fn late_first_token_is_taken_from_a_second_engine_and_the_first_one_cancelled() -> Result<()>
{
    let world = start().await;
    world.servers.then(silent());

    let answer = world.complete(world::PROMPT, 20_000).await;

    world.servers.wait_for("cancel").await;
    world.assert_balanced().await;
    let log = world.servers.log();
    let sent: Vec<_> = log.iter().filter(|l| l.starts_with("generate")).collect();
    verify_that!(text(&answer), eq(OUTPUT))?;
    verify_that!(sent.len(), eq(2))?;
    verify_that!(sent[0], not(eq(sent[1])))?;
    verify_that!(world.servers.count("cancel"), eq(1))?;
    let first = sent[0].split(' ').nth(1).unwrap();
    verify_that!(world.servers.count(&format!("cancel {first}")), eq(1))
}

#[gtest]
#[tokio::test]
async fn second_engine_that_loses_is_cancelled() -> Result<()> {
    let world = start().await;
    world.servers.then(Step::AfterSends(2));
    world.servers.then(silent());

    let answer = world.complete(world::PROMPT, 20_000).await;

    world.servers.wait_for("cancel").await;
    world.assert_balanced().await;
    verify_that!(text(&answer), eq(OUTPUT))?;
    verify_that!(world.servers.count("generate"), eq(2))?;
    verify_that!(world.servers.count("cancel"), eq(1))
}

#[gtest]
#[tokio::test]
async fn hedges_end_with_the_budget() -> Result<()> {
    let world = start().await;
    for number in 1..=NEW_BUDGET {
        world.servers.then(Step::AfterSends(2 * number));
        world.servers.then(silent());
    }
    let late = time::Duration::from_millis(600);
    world.servers.then(Step::Slow(late));

    for _ in 0..=NEW_BUDGET {
        world.complete(world::PROMPT, 20_000).await;
    }

    world.assert_balanced().await;
    // The last request finds the budget empty, and its late first token is waited for.
    verify_that!(world.servers.count("generate"), eq(2 * NEW_BUDGET + 1))
}

#[gtest]
#[tokio::test]
async fn hedge_without_a_spare_credit_is_left_out_and_costs_nothing() -> Result<()> {
    let world = start().await;
    for _ in 0..=NEW_BUDGET {
        world
            .servers
            .then(Step::Slow(time::Duration::from_millis(600)));
        world.control.after_next_credit(|control| {
            let err = error::Error::not_run(error::ErrorKind::Overloaded, "full");
            control.refuse_next(err);
        });
        world.complete(world::PROMPT, 20_000).await;
    }
    world.servers.then(silent());

    let answer = world.complete(world::PROMPT, 20_000).await;

    world.assert_balanced().await;
    verify_that!(text(&answer).len(), eq(OUTPUT.len()))?;
    verify_that!(world.servers.count("generate"), eq(NEW_BUDGET + 3))
}

#[gtest]
#[tokio::test]
async fn keyed_prompts_and_long_prefills_are_not_hedged() -> Result<()> {
    let world = start().await;
    world
        .servers
        .then(Step::Slow(time::Duration::from_millis(600)));
    let req = world
        .request("POST", "/v1/completions")
        .header("x-deadline-ms", 20_000)
        .header("idempotency-key", "k1");

    let answer = world.send(req, world::PROMPT).await;

    world.assert_balanced().await;
    verify_that!(text(&answer), eq(OUTPUT))?;
    verify_that!(world.servers.count("generate"), eq(1))?;
    let estimate = mustardshed::core::request::route::estimate::Estimate::default();
    let longest = hedge::MAX_PREFILL_TOKENS;
    verify_that!(
        hedge::late_after(&estimate, longest, ALLOWANCE),
        some(eq(ALLOWANCE))
    )?;
    verify_that!(hedge::late_after(&estimate, longest + 1, ALLOWANCE), none())
}

fn step() -> impl Strategy<Value = Step> {
    let frame = (0..3_u64, proptest::bool::weighted(0.8)).prop_map(|(offset, is_own)| {
        let id = if is_own { "entry-1.1.1" } else { "entry-9.1.1" };
        servers::frame(id, offset, offset == 2)
    });
    let frames = proptest::collection::vec(frame, 0..6);
    let after = prop_oneof![Just(After::Finish), Just(After::Break), Just(After::Stall)];
    prop_oneof![
        4 => (frames, after).prop_map(|(frames, after)| Step::Noise(frames, after)),
        4 => Just(silent()),
        2 => (100..400_u64).prop_map(|ms| Step::Slow(time::Duration::from_millis(ms))),
        1 => Just(Step::Fail(servers::refused())),
        1 => Just(Step::Fail(servers::broken())),
    ]
}

async fn check(sends: Vec<Step>, is_streamed: bool) -> std::result::Result<(), TestCaseError> {
    let world = sync::Arc::new(start().await);
    let silent_ones = sends.len();
    for step in sends {
        world.servers.then(step);
    }
    let body = if is_streamed {
        world::STREAMED
    } else {
        world::PROMPT
    };

    let answer = world.complete(body, 700).await;

    world.assert_balanced().await;
    let text = if is_streamed {
        crate::storm::streamed_text(&answer.body)
    } else {
        text(&answer)
    };
    let sent = world.servers.count("generate");
    prop_assert!(OUTPUT.starts_with(&text), "{text}");
    prop_assert!(sent <= world.control.seen(|seen| seen.granted.len()));
    prop_assert!(sent <= 1 + NEW_BUDGET + silent_ones);
    if crate::storm::told(&answer) == "completed" {
        prop_assert_eq!(text.as_str(), OUTPUT);
    }
    Ok(())
}

proptest! {
    #![proptest_config(test_runner::Config {
        cases: CASES,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..test_runner::Config::default()
    })]

    #[test]
    fn hedged_prompt_has_every_token_once_and_everything_comes_back(
        sends in proptest::collection::vec(step(), 1..5),
        is_streamed in any::<bool>(),
    ) {
        crate::storm::run(check(sends, is_streamed))?;
    }
}
