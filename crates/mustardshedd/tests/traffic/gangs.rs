//! Prompts that exceed one engine's memory get all the engines that they need, or none.

use std::time;

use googletest::prelude::*;

use crate::fakes::{
    entry,
    servers::{self, After, Step},
};

#[gtest]
#[tokio::test]
async fn long_prompt_acquires_credits_and_reservations_in_order_of_names() -> Result<()> {
    let entry = entry::Entry::start().await;

    let response = entry.complete(&long_prompt(), 5_000).await;

    entry.servers.wait_for("release r2").await;
    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    let log = entry.servers.log();
    verify_that!(log[0], eq("reserve r1 752"))?;
    verify_that!(log[1], eq("reserve r2 752"))?;
    verify_that!(log[2], eq("generate r1 at 0 of 2"))?;
    verify_that!(entry.servers.count("cancel"), eq(0))
}

#[gtest]
#[tokio::test]
async fn wait_for_one_engine_does_not_let_the_credit_of_another_expire() -> Result<()> {
    let entry = entry::Entry::start().await;
    let more_than_half = time::Duration::from_millis(1200);
    entry.control.freeze_after_two_credits(more_than_half);

    let response = entry.complete(&long_prompt(), 5_000).await;

    entry.servers.wait_for("release r2").await;
    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(entry.control.seen(|seen| seen.granted.len()), eq(2))
}

#[gtest]
#[tokio::test]
async fn failed_reservation_releases_everything() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.fail_reservation(servers::refused());

    let response = entry.complete(&long_prompt(), 5_000).await;

    entry.servers.wait_for("release r1").await;
    entry.assert_balanced().await;
    verify_that!(response.outcome(), eq("not_run"))?;
    verify_that!(entry.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn deadline_cancels_the_gang_before_its_credits_are_released() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Stream(vec![0], After::Stall));

    let response = entry.complete(&long_prompt(), 100).await;

    entry.servers.wait_for("release r2").await;
    entry.assert_balanced().await;
    verify_that!(response.outcome(), eq("failed"))?;
    let log = entry.servers.log();
    let cancel = log.iter().position(|l| l == "cancel r1");
    let release = log.iter().position(|l| l == "release r1");
    verify_that!(cancel < release, eq(true))
}

/// A prompt of 1,500 tokens with 4 of output, for engines of 1,000.
fn long_prompt() -> String {
    let text = "a hymn".repeat(1_000);
    format!(r#"{{"model":"drafts","prompt":"{text}","max_tokens":4}}"#)
}
