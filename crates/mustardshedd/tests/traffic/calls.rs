//! Calls of plain services: those that may not be repeated are sent at most once.

use std::time;

use googletest::prelude::*;
use mustardshed::core::{error, outcome::Outcome};

use crate::fakes::{
    entry,
    servers::{self, Step},
};

#[gtest]
#[tokio::test]
async fn non_idempotent_call_is_sent_at_most_once() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Fail(servers::broken()));

    let response = charge(&entry, None).await;

    entry.assert_balanced().await;
    verify_that!(response.code(), eq("fate_unknown"))?;
    verify_that!(response.outcome(), eq("unknown"))?;
    verify_that!(entry.servers.count("call"), eq(1))?;
    let settled = entry
        .control
        .seen(|seen| seen.settled.last().unwrap().outcome);
    verify_that!(settled, eq(Outcome::Unknown))
}

#[gtest]
#[tokio::test]
async fn provably_unsent_call_is_tried_elsewhere() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Fail(servers::unreachable()));

    let response = charge(&entry, None).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(entry.servers.count("call"), eq(2))
}

#[gtest]
#[tokio::test]
async fn call_that_never_ran_reports_not_run() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Fail(servers::refused()));
    entry.servers.then(Step::Fail(servers::unreachable()));

    let response = charge(&entry, None).await;

    entry.assert_balanced().await;
    verify_that!(response.outcome(), eq("not_run"))?;
    let settled = entry
        .control
        .seen(|seen| seen.settled.last().unwrap().outcome);
    verify_that!(settled, eq(Outcome::NotRun))
}

#[gtest]
#[tokio::test]
async fn repeat_with_the_same_key_gets_the_first_response() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Answer(201, "charged"));

    let first = charge(&entry, Some("deposit-1")).await;
    let second = charge(&entry, Some("deposit-1")).await;

    entry.assert_balanced().await;
    verify_that!(first.status, eq(201))?;
    verify_that!(second.status, eq(201))?;
    verify_that!(second.body, eq("charged"))?;
    verify_that!(entry.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn call_that_the_service_declines_is_not_sent_again_and_not_reported_completed() -> Result<()>
{
    for status in [429, 503] {
        let entry = entry::Entry::start().await;
        entry.servers.then(Step::Answer(status, "come back later"));

        let first = charge(&entry, Some("deposit-1")).await;
        let repeat = charge(&entry, Some("deposit-1")).await;
        let id = first.headers["x-request-id"].to_str().unwrap();
        let path = format!("/v1/requests/{id}");
        let fate = entry.send(entry.request("GET", &path), "").await;

        entry.assert_balanced().await;
        verify_that!(first.status, eq(status))?;
        verify_that!(first.body, eq("come back later"))?;
        verify_that!(first.headers["x-outcome"].to_str().unwrap(), eq("unknown"))?;
        verify_that!(repeat.status, eq(502))?;
        verify_that!(repeat.code(), eq("fate_unknown"))?;
        verify_that!(repeat.outcome(), eq("unknown"))?;
        verify_that!(fate.outcome(), eq("unknown"))?;
        verify_that!(
            fate.json()["answer"]["status"].as_u64(),
            some(eq(u64::from(status)))
        )?;
        verify_that!(entry.servers.count("call"), eq(1))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn repeatable_call_that_the_service_declines_gets_its_response() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Answer(503, "come back later"));

    let response = entry
        .send(entry.request("GET", "/services/ledger/balance"), "")
        .await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(503))?;
    verify_that!(response.body, eq("come back later"))?;
    verify_that!(response.headers.contains_key("x-outcome"), eq(false))
}

#[gtest]
#[tokio::test]
async fn fate_after_the_deadline_is_recorded_and_can_be_queried() -> Result<()> {
    let entry = entry::Entry::start().await;
    let delay = time::Duration::from_millis(400);
    entry.servers.then(Step::Late(delay, 200, "charged"));
    let req = entry
        .request("POST", "/services/ledger/charge")
        .header("x-deadline-ms", 100);

    let response = entry.send(req, "{}").await;

    verify_that!(entry.server.in_flight(), eq(1))?;
    verify_that!(response.code(), eq("deadline_exceeded"))?;
    verify_that!(response.outcome(), eq("unknown"))?;
    entry.assert_balanced().await;
    let id = response.headers["x-request-id"].to_str().unwrap();
    let fate = entry
        .send(entry.request("GET", &format!("/v1/requests/{id}")), "")
        .await;
    verify_that!(fate.outcome(), eq("completed"))?;
    verify_that!(entry.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn repeatable_call_is_dropped_at_its_deadline() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Hang);
    let req = entry
        .request("GET", "/services/ledger/balance")
        .header("x-deadline-ms", 100);

    let response = entry.send(req, "").await;

    entry.assert_balanced().await;
    verify_that!(response.outcome(), eq("unknown"))
}

#[gtest]
#[tokio::test]
async fn caller_that_leaves_does_not_end_a_claimed_call() -> Result<()> {
    let entry = entry::Entry::start().await;
    let delay = time::Duration::from_millis(400);
    entry.servers.then(Step::Late(delay, 200, "charged"));
    let req = entry.request("POST", "/services/ledger/charge");

    let left = tokio::time::timeout(time::Duration::from_millis(100), entry.send(req, "{}")).await;

    verify_that!(left.is_err(), eq(true))?;
    entry.assert_balanced().await;
    let settled = entry
        .control
        .seen(|seen| seen.settled.last().unwrap().outcome);
    verify_that!(settled, eq(Outcome::Completed))
}

#[gtest]
#[tokio::test]
async fn repeatable_call_is_retried_after_a_broken_connection() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Fail(servers::broken()));
    let req = entry.request("GET", "/services/ledger/balance?of=1");

    let response = entry.send(req, "").await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(entry.servers.count("call"), eq(2))
}

#[gtest]
#[tokio::test]
async fn encoded_path_of_a_charge_is_still_a_charge() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Fail(servers::broken()));
    let req = entry.request("POST", "/services/ledger/%63harge");

    let response = entry.send(req, "{}").await;

    verify_that!(response.outcome(), eq("unknown"))?;
    verify_that!(entry.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn call_waits_out_a_change_of_steward() -> Result<()> {
    let entry = entry::Entry::start().await;
    for _ in 0..3 {
        entry.control.refuse_next(error::Error::not_run(
            error::ErrorKind::NoBackendServer,
            "another entry hands out the credits",
        ));
    }

    let response = charge(&entry, None).await;

    entry.assert_balanced().await;
    verify_that!(response.status, eq(200))?;
    verify_that!(entry.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn repeat_has_a_fate_of_its_own_and_is_known_before_it_claims() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.servers.then(Step::Answer(201, "charged"));

    charge(&entry, Some("deposit-1")).await;
    charge(&entry, Some("deposit-1")).await;

    entry.assert_balanced().await;
    let records = entry.control.seen(|seen| seen.records.clone());
    let outcomes: Vec<Outcome> = records.iter().map(|fate| fate.outcome).collect();
    verify_that!(
        outcomes,
        elements_are![
            eq(&Outcome::Running),
            eq(&Outcome::Running),
            eq(&Outcome::Completed),
            eq(&Outcome::Running),
            eq(&Outcome::NotRun)
        ]
    )?;
    let unrecorded = entry.control.seen(|seen| seen.claimed_unrecorded.clone());
    verify_that!(unrecorded, is_empty())
}

#[gtest]
#[tokio::test]
async fn planned_stop_waits_for_the_record_of_a_fate() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry
        .control
        .settle_after(time::Duration::from_millis(1_500));

    let response = charge(&entry, Some("deposit-1")).await;
    entry.server.begin_drain();
    entry.server.wait_until_idle().await;
    let unrecorded = entry
        .server
        .wait_for_settlements(time::Duration::from_secs(60))
        .await;

    verify_that!(response.status, eq(200))?;
    verify_that!(unrecorded, eq(0))?;
    let settled = entry.control.seen(|seen| seen.settled.len());
    verify_that!(settled, eq(1))
}

#[gtest]
#[tokio::test]
async fn planned_stop_does_not_wait_for_ever_for_a_record() -> Result<()> {
    let entry = entry::Entry::start().await;
    entry.control.settle_after(time::Duration::from_secs(3_600));

    let response = charge(&entry, Some("deposit-1")).await;
    entry.server.begin_drain();
    entry.server.wait_until_idle().await;
    let unrecorded = entry
        .server
        .wait_for_settlements(time::Duration::from_millis(50))
        .await;

    verify_that!(response.status, eq(200))?;
    verify_that!(unrecorded, eq(1))
}

async fn charge(entry: &entry::Entry, key: Option<&str>) -> entry::Response {
    let mut req = entry.request("POST", "/services/ledger/charge");
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    entry.send(req, r#"{"cents":900}"#).await
}
