//! Prompts that exceed one engine's memory: all engines or none.

use std::time;

use googletest::prelude::*;

use crate::fakes::{
    servers::{self, After, Step},
    world,
};

#[gtest]
#[tokio::test]
async fn long_prompt_takes_credits_and_reservations_by_name() -> Result<()> {
    let world = world::World::start().await;

    let answer = world.complete(&long_prompt(), 5_000).await;

    world.servers.wait_for("release r2").await;
    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    let log = world.servers.log();
    verify_that!(log[0], eq("reserve r1 752"))?;
    verify_that!(log[1], eq("reserve r2 752"))?;
    verify_that!(log[2], eq("generate r1 at 0 of 2"))?;
    verify_that!(world.servers.count("cancel"), eq(0))
}

#[gtest]
#[tokio::test]
async fn wait_for_one_engine_does_not_cost_the_credit_of_another() -> Result<()> {
    let world = world::World::start().await;
    let more_than_half = time::Duration::from_millis(1200);
    world.control.freeze_after_two_credits(more_than_half);

    let answer = world.complete(&long_prompt(), 5_000).await;

    world.servers.wait_for("release r2").await;
    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(world.control.seen(|seen| seen.granted.len()), eq(2))
}

#[gtest]
#[tokio::test]
async fn failed_reservation_gives_everything_back() -> Result<()> {
    let world = world::World::start().await;
    world.servers.fail_reservation(servers::refused());

    let answer = world.complete(&long_prompt(), 5_000).await;

    world.servers.wait_for("release r1").await;
    world.assert_balanced().await;
    verify_that!(answer.outcome(), eq("not_run"))?;
    verify_that!(world.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn deadline_cancels_the_gang_before_its_credits_come_back() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Stream(vec![0], After::Stall));

    let answer = world.complete(&long_prompt(), 100).await;

    world.servers.wait_for("release r2").await;
    world.assert_balanced().await;
    verify_that!(answer.outcome(), eq("failed"))?;
    let log = world.servers.log();
    let cancel = log.iter().position(|l| l == "cancel r1");
    let release = log.iter().position(|l| l == "release r1");
    verify_that!(cancel < release, eq(true))
}

/// A prompt of 1,500 tokens with 4 of output, for engines of 1,000.
fn long_prompt() -> String {
    let text = "a hymn".repeat(1_000);
    format!(r#"{{"model":"drafts","prompt":"{text}","max_tokens":4}}"#)
}
