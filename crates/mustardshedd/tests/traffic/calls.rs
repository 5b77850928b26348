//! Calls of plain services: what may not be repeated is sent at most once.

use std::time;

use googletest::prelude::*;
use mustardshed::core::{error, outcome::Outcome};

use crate::fakes::{
    servers::{self, Step},
    world,
};

#[gtest]
#[tokio::test]
async fn non_idempotent_call_is_sent_at_most_once() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Fail(servers::broken()));

    let answer = charge(&world, None).await;

    world.assert_balanced().await;
    verify_that!(answer.code(), eq("fate_unknown"))?;
    verify_that!(answer.outcome(), eq("unknown"))?;
    verify_that!(world.servers.count("call"), eq(1))?;
    let settled = world
        .control
        .seen(|seen| seen.settled.last().unwrap().outcome);
    verify_that!(settled, eq(Outcome::Unknown))
}

#[gtest]
#[tokio::test]
async fn provably_unsent_call_is_tried_elsewhere() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Fail(servers::unreachable()));

    let answer = charge(&world, None).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(world.servers.count("call"), eq(2))
}

#[gtest]
#[tokio::test]
async fn call_that_never_ran_says_so() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Fail(servers::refused()));
    world.servers.then(Step::Fail(servers::unreachable()));

    let answer = charge(&world, None).await;

    world.assert_balanced().await;
    verify_that!(answer.outcome(), eq("not_run"))?;
    let settled = world
        .control
        .seen(|seen| seen.settled.last().unwrap().outcome);
    verify_that!(settled, eq(Outcome::NotRun))
}

#[gtest]
#[tokio::test]
async fn repeat_with_the_same_key_gets_the_first_answer() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Answer(201, "charged"));

    let first = charge(&world, Some("deposit-1")).await;
    let second = charge(&world, Some("deposit-1")).await;

    world.assert_balanced().await;
    verify_that!(first.status, eq(201))?;
    verify_that!(second.status, eq(201))?;
    verify_that!(second.body, eq("charged"))?;
    verify_that!(world.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn call_that_the_service_declines_is_not_sent_again_and_not_called_completed() -> Result<()> {
    for status in [429, 503] {
        let world = world::World::start().await;
        world.servers.then(Step::Answer(status, "come back later"));

        let first = charge(&world, Some("deposit-1")).await;
        let repeat = charge(&world, Some("deposit-1")).await;
        let id = first.headers["x-request-id"].to_str().unwrap();
        let path = format!("/v1/requests/{id}");
        let fate = world.send(world.request("GET", &path), "").await;

        world.assert_balanced().await;
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
        verify_that!(world.servers.count("call"), eq(1))?;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn repeatable_call_that_the_service_declines_gets_its_answer() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Answer(503, "come back later"));

    let answer = world
        .send(world.request("GET", "/services/ledger/balance"), "")
        .await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(503))?;
    verify_that!(answer.body, eq("come back later"))?;
    verify_that!(answer.headers.contains_key("x-outcome"), eq(false))
}

#[gtest]
#[tokio::test]
async fn fate_after_the_deadline_is_learned_and_told_later() -> Result<()> {
    let world = world::World::start().await;
    let delay = time::Duration::from_millis(400);
    world.servers.then(Step::Late(delay, 200, "charged"));
    let req = world
        .request("POST", "/services/ledger/charge")
        .header("x-deadline-ms", 100);

    let answer = world.send(req, "{}").await;

    verify_that!(world.server.in_flight(), eq(1))?;
    verify_that!(answer.code(), eq("deadline_exceeded"))?;
    verify_that!(answer.outcome(), eq("unknown"))?;
    world.assert_balanced().await;
    let id = answer.headers["x-request-id"].to_str().unwrap();
    let fate = world
        .send(world.request("GET", &format!("/v1/requests/{id}")), "")
        .await;
    verify_that!(fate.outcome(), eq("completed"))?;
    verify_that!(world.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn repeatable_call_is_dropped_at_its_deadline() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Hang);
    let req = world
        .request("GET", "/services/ledger/balance")
        .header("x-deadline-ms", 100);

    let answer = world.send(req, "").await;

    world.assert_balanced().await;
    verify_that!(answer.outcome(), eq("unknown"))
}

#[gtest]
#[tokio::test]
async fn caller_that_leaves_does_not_end_a_claimed_call() -> Result<()> {
    let world = world::World::start().await;
    let delay = time::Duration::from_millis(400);
    world.servers.then(Step::Late(delay, 200, "charged"));
    let req = world.request("POST", "/services/ledger/charge");

    let left = tokio::time::timeout(time::Duration::from_millis(100), world.send(req, "{}")).await;

    verify_that!(left.is_err(), eq(true))?;
    world.assert_balanced().await;
    let settled = world
        .control
        .seen(|seen| seen.settled.last().unwrap().outcome);
    verify_that!(settled, eq(Outcome::Completed))
}

#[gtest]
#[tokio::test]
async fn repeatable_call_is_retried_after_a_break() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Fail(servers::broken()));
    let req = world.request("GET", "/services/ledger/balance?of=1");

    let answer = world.send(req, "").await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(world.servers.count("call"), eq(2))
}

#[gtest]
#[tokio::test]
async fn encoded_path_of_a_charge_is_still_a_charge() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Fail(servers::broken()));
    let req = world.request("POST", "/services/ledger/%63harge");

    let answer = world.send(req, "{}").await;

    verify_that!(answer.outcome(), eq("unknown"))?;
    verify_that!(world.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn change_of_stewards_is_waited_out() -> Result<()> {
    let world = world::World::start().await;
    for _ in 0..3 {
        world.control.refuse_next(error::Error::not_run(
            error::ErrorKind::NoBackendServer,
            "another entry hands out the credits",
        ));
    }

    let answer = charge(&world, None).await;

    world.assert_balanced().await;
    verify_that!(answer.status, eq(200))?;
    verify_that!(world.servers.count("call"), eq(1))
}

#[gtest]
#[tokio::test]
async fn repeat_has_a_fate_of_its_own_and_is_known_before_it_claims() -> Result<()> {
    let world = world::World::start().await;
    world.servers.then(Step::Answer(201, "charged"));

    charge(&world, Some("deposit-1")).await;
    charge(&world, Some("deposit-1")).await;

    world.assert_balanced().await;
    let records = world.control.seen(|seen| seen.records.clone());
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
    let unrecorded = world.control.seen(|seen| seen.claimed_unrecorded.clone());
    verify_that!(unrecorded, is_empty())
}

#[gtest]
#[tokio::test]
async fn planned_stop_waits_for_the_record_of_a_fate() -> Result<()> {
    let world = world::World::start().await;
    world
        .control
        .settle_after(time::Duration::from_millis(1_500));

    let answer = charge(&world, Some("deposit-1")).await;
    world.server.begin_drain();
    world.server.wait_until_idle().await;
    let unrecorded = world
        .server
        .wait_for_settlements(time::Duration::from_secs(60))
        .await;

    verify_that!(answer.status, eq(200))?;
    verify_that!(unrecorded, eq(0))?;
    let settled = world.control.seen(|seen| seen.settled.len());
    verify_that!(settled, eq(1))
}

#[gtest]
#[tokio::test]
async fn planned_stop_does_not_wait_for_ever_for_a_record() -> Result<()> {
    let world = world::World::start().await;
    world.control.settle_after(time::Duration::from_secs(3_600));

    let answer = charge(&world, Some("deposit-1")).await;
    world.server.begin_drain();
    world.server.wait_until_idle().await;
    let unrecorded = world
        .server
        .wait_for_settlements(time::Duration::from_millis(50))
        .await;

    verify_that!(answer.status, eq(200))?;
    verify_that!(unrecorded, eq(1))
}

async fn charge(world: &world::World, key: Option<&str>) -> world::Answer {
    let mut req = world.request("POST", "/services/ledger/charge");
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    world.send(req, r#"{"cents":900}"#).await
}
