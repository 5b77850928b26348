//! The load generator: its arrivals, and runs against an engine.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use std::time;

use googletest::prelude::*;
use mustardshed_standins::{
    engine::{server, settings},
    json_client,
    load::{arrival, arrivals, plan, report, run},
};
use serde_json::json;

const TIME_SCALE: f64 = 20.0;

fn account(name: &str, weight: u32) -> plan::Account {
    plan::Account {
        name: name.to_owned(),
        key: format!("key-of-{name}"),
        weight,
    }
}

fn plan_of(seconds: u64) -> plan::Plan {
    plan::Plan {
        accounts: vec![account("large", 9), account("small", 1)],
        rate: 20.0,
        duration: time::Duration::from_secs(seconds),
        time_scale: TIME_SCALE,
        ..plan::Plan::default()
    }
}

fn arrivals_of(plan: &plan::Plan) -> Vec<arrival::Arrival> {
    arrivals::Arrivals::of_plan(plan).unwrap().collect()
}

async fn engine() -> server::Engine {
    let settings = settings::Settings {
        memory_tokens: 10_000_000,
        prefill_tps: 1_000_000.0,
        chunk_tokens: 100_000,
        time_scale: TIME_SCALE,
        ..settings::Settings::default()
    };
    server::Engine::bind(settings).await.unwrap()
}

async fn run_direct(engine: &server::Engine, plan: plan::Plan) -> report::ViaReport {
    let plan = plan::Plan {
        direct: Some(format!("http://{}", engine.address())),
        ..plan
    };
    let mut report = run::run(plan).await.unwrap();
    report.via.remove("direct").unwrap()
}

#[test]
fn about_one_prompt_in_fifty_is_long() {
    let all = arrivals_of(&plan_of(1_000));

    let long = all.iter().filter(|a| a.is_long()).count();

    assert!((19_000..21_000).contains(&all.len()), "{}", all.len());
    assert!((300..500).contains(&long), "{long}");
    let lengths = all.iter().map(|a| a.prompt_tokens);
    assert!(lengths.clone().min().unwrap() >= 1_000);
    assert!(lengths.max().unwrap() <= 1_000_000);
}

#[test]
fn leaving_long_prompts_out_changes_no_other() {
    let plan = plan_of(100);
    let mut short = arrivals_of(&plan);
    short.retain(|a| !a.is_long());

    let short_only = plan::Plan {
        short_only: true,
        ..plan
    };

    assert_that!(arrivals_of(&short_only), eq(&short));
}

#[tokio::test]
async fn every_answer_of_a_sound_engine_is_counted_as_completed() {
    let engine = engine().await;
    let plan = plan_of(4);
    let expected = arrivals_of(&plan).len() as u64;

    let report = run_direct(&engine, plan).await;

    assert_that!(report.outcomes.len(), eq(1));
    assert_that!(report.outcomes["completed"], eq(expected));
    assert_that!(report.first_token_all.count, eq(expected));
    assert_that!(report.tokens, eq(expected * 32));
}

#[tokio::test]
async fn crossed_answers_are_counted_as_wrong() {
    let engine = engine().await;
    let url = format!("http://{}/admin/faults", engine.address());
    let client = json_client::JsonClient::open();
    client
        .put(&url, &json!({"cross_frames": true}))
        .await
        .unwrap();

    let report = run_direct(&engine, plan_of(1)).await;

    assert_that!(report.outcomes.keys().collect::<Vec<_>>(), eq(&["wrong"]));
}

#[tokio::test]
async fn refusals_are_counted_by_code() {
    let engine = engine().await;
    let plan = plan::Plan {
        model: String::from("unheard-of"),
        ..plan_of(1)
    };

    let report = run_direct(&engine, plan).await;

    let codes: Vec<_> = report.outcomes.keys().collect();
    assert_that!(codes, eq(&["not_run: no_such_model"]));
    assert_that!(report.refusals.count, gt(0));
}

#[tokio::test]
async fn refused_connections_are_counted() {
    let engine = engine().await;
    let plan = plan::Plan {
        entries: vec![format!("http://{}", engine.address())],
        ..plan_of(1)
    };
    drop(engine);
    tokio::task::yield_now().await;

    let report = run::run(plan).await.unwrap();

    let outcomes = &report.via["entry"].outcomes;
    assert_that!(outcomes.keys().collect::<Vec<_>>(), eq(&["no connection"]));
    assert_that!(report.refused_connections, gt(0));
}

#[tokio::test]
async fn a_plan_without_receiver_is_refused() {
    let refused = run::run(plan_of(1)).await;

    assert_that!(refused.err(), some(eq(&run::RunError::NoReceiver)));
}
