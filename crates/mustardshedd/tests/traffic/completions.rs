//! Prompts: each token once, each credit back once, a true outcome on every path.

use std::time;

use googletest::prelude::*;
use mustardshed::core::{error, outcome::Outcome};

use crate::fakes::{
    servers::{self, After, Step},
    world,
};

#[gtest]
#[tokio::test]
async fn whole_answer_has_every_token_once() -> Result<()> {
    let world = world::World::start().await;

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    let body = answer.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    verify_that!(
        body["choices"][0]["finish_reason"].as_str(),
        some(eq("length"))
    )?;
    verify_that!(body["usage"]["completion_tokens"].as_u64(), some(eq(3)))?;
    verify_that!(answer.headers.contains_key("x-request-id"), eq(true))?;
    verify_that!(world.servers.count("cancel"), eq(0))
}

#[gtest]
#[tokio::test]
async fn streamed_answer_ends_with_done() -> Result<()> {
    let world = world::World::start().await;

    let answer = world.complete(world::STREAMED, 5_000).await;

    world.assert_balanced().await;
    let events: Vec<_> = answer.body.split("\n\n").collect();
    verify_that!(events.len(), eq(5))?;
    verify_that!(events[0], starts_with("data: {\"id\":\"entry-1.1.1\""))?;
    verify_that!(events[0], contains_substring("\"text\":\"t0 \""))?;
    verify_that!(
        events[2],
        contains_substring("\"finish_reason\":\"length\"")
    )?;
    verify_that!(events[3], eq("data: [DONE]"))
}

#[gtest]
#[tokio::test]
async fn late_and_crossed_frames_are_dropped() -> Result<()> {
    let world = world::World::start().await;
    let id = "entry-1.1.1";
    world.servers.then(Step::Frames(vec![
        servers::frame(id, 0, false),
        servers::frame("entry-9.1.1", 1, false),
        servers::frame(id, 0, false),
        servers::frame(id, 1, false),
        servers::frame(id, 1, false),
        servers::frame(id, 2, true),
    ]));

    let answer = world.complete(world::PROMPT, 5_000).await;

    let body = answer.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))
}

#[gtest]
#[tokio::test]
async fn gap_is_filled_by_resuming() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Stream(vec![0, 2], After::Finish));

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    let body = answer.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    verify_that!(world.servers.count("resume"), eq(1))
}

#[gtest]
#[tokio::test]
async fn broken_stream_is_resumed_on_the_same_engine() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Stream(vec![0], After::Break));

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    let body = answer.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    verify_that!(world.servers.count("generate"), eq(1))
}

#[gtest]
#[tokio::test]
async fn dead_engine_is_replaced_at_the_next_token() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Stream(vec![0], After::Break));
    world
        .servers
        .then_on_resume(Step::Fail(servers::unreachable()));

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.servers.wait_for("cancel").await;
    world.assert_balanced().await;
    let body = answer.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    let log = world.servers.log();
    verify_that!(
        log.iter()
            .any(|l| l.starts_with("generate") && l.contains("at 1")),
        eq(true)
    )
}

#[gtest]
#[tokio::test]
async fn refusal_is_tried_elsewhere() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Fail(servers::refused()));

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(world.servers.count("generate"), eq(2))?;
    verify_that!(world.servers.count("cancel"), eq(0))
}

#[gtest]
#[tokio::test]
async fn refusals_everywhere_are_not_run() -> Result<()> {
    let world = world::World::start().await;
    for _ in 0..3 {
        world.servers.then(Step::Fail(servers::refused()));
    }

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(429))?;
    verify_that!(answer.outcome(), eq("not_run"))?;
    verify_that!(answer.headers.contains_key("retry-after"), eq(true))?;
    verify_that!(world.servers.count("generate"), eq(3))
}

#[gtest]
#[tokio::test]
async fn failure_after_a_token_is_never_not_run() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Stream(vec![0], After::Break));
    world
        .servers
        .then_on_resume(Step::Fail(servers::unreachable()));
    world.servers.then(Step::Fail(servers::refused()));
    world.servers.then(Step::Fail(servers::unreachable()));

    let answer = world.complete(world::STREAMED, 5_000).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(answer.body, contains_substring("\"outcome\":\"failed\""))?;
    verify_that!(answer.body, not(contains_substring("[DONE]")))
}

#[gtest]
#[tokio::test]
async fn deadline_is_answered_at_once_and_the_work_cancelled() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Stream(vec![], After::Stall));

    let answer = world.complete(world::PROMPT, 100).await;

    verify_that!(answer.code(), eq("deadline_exceeded"))?;
    verify_that!(answer.outcome(), eq("failed"))?;
    world.servers.wait_for("cancel").await;
    world.assert_balanced().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn caller_that_leaves_cancels_the_work() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Stream(vec![0], After::Stall));

    let left = tokio::time::timeout(
        time::Duration::from_millis(300),
        world.complete(world::STREAMED, 30_000),
    )
    .await;

    verify_that!(left.is_err(), eq(true))?;
    world.servers.wait_for("cancel").await;
    world.assert_balanced().await;
    let last = world
        .control
        .seen(|seen| seen.records.last().unwrap().outcome);
    verify_that!(last, eq(Outcome::Failed))
}

#[gtest]
#[tokio::test]
async fn credit_refusal_is_tried_elsewhere() -> Result<()> {
    let world = world::World::start().await;
    world
        .control
        .refuse_next(error::Error::not_run(error::ErrorKind::Overloaded, "full"));

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn frozen_holder_sends_nothing_on_an_old_credit() -> Result<()> {
    let world = world::World::start().await;
    world
        .control
        .freeze_after_next_credit(time::Duration::from_secs(3));

    let answer = world.complete(world::PROMPT, 20_000).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(world.control.seen(|seen| seen.granted.len()), eq(2))?;
    verify_that!(world.servers.count("generate"), eq(1))
}

#[gtest]
#[tokio::test]
async fn frozen_holder_sends_nothing_on_an_old_configuration() -> Result<()> {
    let world = world::World::start().await;
    world
        .control
        .change(|s| s.may_place_until = time::Duration::from_secs(60));
    world
        .control
        .freeze_after_next_credit(time::Duration::from_secs(100));

    let answer = world.complete(world::PROMPT, 20_000).await;

    world.assert_balanced().await;
    verify_that!(answer.outcome(), eq("not_run"))?;
    verify_that!(world.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn server_that_turned_cold_is_not_sent_to_on_an_old_credit() -> Result<()> {
    let world = world::World::start().await;
    world.control.after_next_credit(|control| {
        control.change(|s| {
            for server in s.servers.values_mut() {
                server.epoch = 2;
            }
        });
    });

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(world.control.seen(|seen| seen.granted[0].epoch), eq(1))?;
    verify_that!(world.control.seen(|seen| seen.granted[1].epoch), eq(2))?;
    verify_that!(world.servers.count("generate"), eq(1))
}

#[gtest]
#[tokio::test]
async fn data_centre_taken_out_meanwhile_is_not_sent_to() -> Result<()> {
    let world = world::World::start().await;
    world.control.after_next_credit(|control| {
        control.change(|s| {
            s.data_centres_out.insert("east".to_owned());
            s.data_centres_out.insert("west".to_owned());
        });
    });

    let answer = world.complete(world::PROMPT, 5_000).await;

    world.assert_balanced().await;
    verify_that!(answer.outcome(), eq("not_run"))?;
    verify_that!(world.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn keyed_prompt_runs_once_and_is_repeated_from_its_record() -> Result<()> {
    let world = world::World::start().await;
    let send = |body: &'static str| {
        let req = world
            .request("POST", "/v1/completions")
            .header("idempotency-key", "k1");
        world.send(req, body)
    };

    let first = send(world::PROMPT).await;
    let second = send(world::PROMPT).await;
    let other = send(world::STREAMED).await;

    world.assert_balanced().await;
    verify_that!(first.status, eq(200))?;
    verify_that!(second.body, eq(first.body.as_str()))?;
    verify_that!(second.headers.contains_key("idempotent-replayed"), eq(true))?;
    verify_that!(other.code(), eq("idempotency_key_reused"))?;
    verify_that!(world.servers.count("generate"), eq(1))
}
