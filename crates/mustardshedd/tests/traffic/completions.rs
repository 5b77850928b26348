//! Prompts: each token is delivered once, each credit released once, and the outcome is true on
//! every path.

use std::time;

use googletest::prelude::*;
use mustardshed::core::{error, outcome::Outcome};

use crate::fakes::{
    entry,
    servers::{self, After, Step},
};

#[gtest]
#[tokio::test]
async fn full_response_has_every_token_once() -> Result<()> {
    let entry = entry::Entry::start().await;

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    let body = response.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    verify_that!(
        body["choices"][0]["finish_reason"].as_str(),
        some(eq("length"))
    )?;
    verify_that!(body["usage"]["completion_tokens"].as_u64(), some(eq(3)))?;
    verify_that!(response.headers.contains_key("x-request-id"), eq(true))?;
    verify_that!(entry.servers.count("cancel"), eq(0))
}

#[gtest]
#[tokio::test]
async fn streamed_response_ends_with_done() -> Result<()> {
    let entry = entry::Entry::start().await;

    let response = entry.complete(entry::STREAMED, 5_000).await;

    entry.assert_balanced().await;
    let events: Vec<_> = response.body.split("\n\n").collect();
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
    let entry = entry::Entry::start().await;
    let id = "entry-1.1.1";
    entry.servers.then(Step::Frames(vec![
        servers::frame(id, 0, false),
        servers::frame("entry-9.1.1", 1, false),
        servers::frame(id, 0, false),
        servers::frame(id, 1, false),
        servers::frame(id, 1, false),
        servers::frame(id, 2, true),
    ]));

    let response = entry.complete(entry::PROMPT, 5_000).await;

    let body = response.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))
}

#[gtest]
#[tokio::test]
async fn gap_is_filled_by_resuming() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Stream(vec![0, 2], After::Finish));

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    let body = response.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    verify_that!(entry.servers.count("resume"), eq(1))
}

#[gtest]
#[tokio::test]
async fn broken_stream_is_resumed_on_the_same_engine() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Stream(vec![0], After::Break));

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    let body = response.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    verify_that!(entry.servers.count("generate"), eq(1))
}

#[gtest]
#[tokio::test]
async fn dead_engine_is_replaced_at_the_next_token() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Stream(vec![0], After::Break));
    entry
        .servers
        .then_on_resume(Step::Fail(servers::unreachable()));

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.servers.wait_for("cancel").await;
    entry.assert_balanced().await;
    let body = response.json();
    verify_that!(body["choices"][0]["text"].as_str(), some(eq("t0 t1 t2 ")))?;
    let log = entry.servers.log();
    verify_that!(
        log.iter()
            .any(|l| l.starts_with("generate") && l.contains("at 1")),
        eq(true)
    )
}

#[gtest]
#[tokio::test]
async fn refusal_is_tried_elsewhere() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Fail(servers::refused()));

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(entry.servers.count("generate"), eq(2))?;
    verify_that!(entry.servers.count("cancel"), eq(0))
}

#[gtest]
#[tokio::test]
async fn prompt_that_every_engine_refuses_is_not_run() -> Result<()> {
    let entry = entry::Entry::start().await;
    for _ in 0..3 {
        entry.servers.then(Step::Fail(servers::refused()));
    }

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(429))?;
    verify_that!(response.outcome(), eq("not_run"))?;
    verify_that!(response.headers.contains_key("retry-after"), eq(true))?;
    verify_that!(entry.servers.count("generate"), eq(3))
}

#[gtest]
#[tokio::test]
async fn failure_after_a_token_is_never_reported_not_run() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Stream(vec![0], After::Break));
    entry
        .servers
        .then_on_resume(Step::Fail(servers::unreachable()));
    entry.servers.then(Step::Fail(servers::refused()));
    entry.servers.then(Step::Fail(servers::unreachable()));

    let response = entry.complete(entry::STREAMED, 5_000).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(response.body, contains_substring("\"outcome\":\"failed\""))?;
    verify_that!(response.body, not(contains_substring("[DONE]")))
}

#[gtest]
#[tokio::test]
async fn deadline_ends_the_request_at_once_and_cancels_the_work() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Stream(vec![], After::Stall));

    let response = entry.complete(entry::PROMPT, 100).await;

    verify_that!(response.code(), eq("deadline_exceeded"))?;
    verify_that!(response.outcome(), eq("failed"))?;
    entry.servers.wait_for("cancel").await;
    entry.assert_balanced().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn caller_that_leaves_cancels_the_work() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Stream(vec![0], After::Stall));

    let left = tokio::time::timeout(
        time::Duration::from_millis(300),
        entry.complete(entry::STREAMED, 30_000),
    )
    .await;

    verify_that!(left.is_err(), eq(true))?;
    entry.servers.wait_for("cancel").await;
    entry.assert_balanced().await;
    let last = entry
        .control
        .seen(|seen| seen.records.last().unwrap().outcome);
    verify_that!(last, eq(Outcome::Failed))
}

#[gtest]
#[tokio::test]
async fn credit_refusal_is_tried_elsewhere() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry
        .control
        .refuse_next(error::Error::not_run(error::ErrorKind::Overloaded, "full"));

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))
}

#[gtest]
#[tokio::test]
async fn entry_that_was_suspended_does_not_use_an_expired_credit() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry
        .control
        .freeze_after_next_credit(time::Duration::from_secs(3));

    let response = entry.complete(entry::PROMPT, 20_000).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(entry.control.seen(|seen| seen.granted.len()), eq(2))?;
    verify_that!(entry.servers.count("generate"), eq(1))
}

#[gtest]
#[tokio::test]
async fn entry_that_was_suspended_does_not_use_a_stale_configuration() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry
        .control
        .change(|s| s.may_place_until = time::Duration::from_secs(60));
    entry
        .control
        .freeze_after_next_credit(time::Duration::from_secs(100));

    let response = entry.complete(entry::PROMPT, 20_000).await;

    entry.assert_balanced().await;
    verify_that!(response.outcome(), eq("not_run"))?;
    verify_that!(entry.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn server_that_turned_cold_gets_nothing_on_an_earlier_credit() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.control.after_next_credit(|control| {
        control.change(|s| {
            for server in s.servers.values_mut() {
                server.epoch = 2;
            }
        });
    });

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(entry.control.seen(|seen| seen.granted[0].epoch), eq(1))?;
    verify_that!(entry.control.seen(|seen| seen.granted[1].epoch), eq(2))?;
    verify_that!(entry.servers.count("generate"), eq(1))
}

#[gtest]
#[tokio::test]
async fn data_centre_taken_out_after_routing_gets_nothing() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.control.after_next_credit(|control| {
        control.change(|s| {
            s.data_centres_out.insert("east".to_owned());
            s.data_centres_out.insert("west".to_owned());
        });
    });

    let response = entry.complete(entry::PROMPT, 5_000).await;

    entry.assert_balanced().await;
    verify_that!(response.outcome(), eq("not_run"))?;
    verify_that!(entry.servers.count("generate"), eq(0))
}

#[gtest]
#[tokio::test]
async fn keyed_prompt_runs_once_and_is_repeated_from_its_record() -> Result<()> {
    let entry = entry::Entry::start().await;
    let send = |body: &'static str| {
        let req = entry
            .request("POST", "/v1/completions")
            .header("idempotency-key", "k1");
        entry.send(req, body)
    };

    let first = send(entry::PROMPT).await;
    let second = send(entry::PROMPT).await;
    let other = send(entry::STREAMED).await;

    entry.assert_balanced().await;
    verify_that!(first.status, eq(200))?;
    verify_that!(second.body, eq(first.body.as_str()))?;
    verify_that!(second.headers.contains_key("idempotent-replayed"), eq(true))?;
    verify_that!(other.code(), eq("idempotency_key_reused"))?;
    verify_that!(entry.servers.count("generate"), eq(1))
}
