//! The plain service's stand-in and its faults.

#![expect(clippy::unwrap_used, reason = "a fixture that fails ends its test")]

use std::{net, time};

use googletest::prelude::*;
use mustardshed_standins::{
    http, json_client,
    service::{self, call, faults_change, load_report, machine, refusal, settings},
};
use serde_json::json;

const NOW: time::Duration = time::Duration::from_secs(1);

struct Fixture {
    server: http::Server,
    client: json_client::JsonClient,
}

type Answered = std::result::Result<json_client::Answer, json_client::Error>;

impl Fixture {
    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.server.url())
    }

    async fn get(&self, path: &str) -> json_client::Answer {
        self.client.get(&self.url(path)).await.unwrap()
    }

    async fn faults(&self, faults: serde_json::Value) {
        let answer = self.client.put(&self.url("/admin/faults"), &faults).await;
        assert_that!(answer.unwrap().status, eq(200));
    }

    async fn post(&self, path: &str, id: &str, body: &str) -> Answered {
        let req = ::http::Request::post(self.url(path))
            .header("x-request-id", id)
            .body(body.to_owned().into());
        self.client.send(req).await
    }

    /// Waits until a call is being executed.
    async fn executing(&self) {
        while self.executions().await == 0 {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    }

    async fn executions(&self) -> usize {
        let records = self.get("/admin/records").await.body;
        records.as_array().unwrap().len()
    }
}

async fn fixture(settings: settings::Settings) -> Fixture {
    let address = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    Fixture {
        server: service::bind(address, settings).await.unwrap(),
        client: json_client::JsonClient::open(),
    }
}

fn payments() -> settings::Settings {
    settings::Settings::new("payments", "north")
        .non_repeatable(vec!["POST /charge".parse().unwrap()])
        .work(time::Duration::from_millis(20))
}

fn call(path: &str) -> call::Call {
    call::Call {
        request_id: "r".to_owned(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        body: bytes::Bytes::new(),
    }
}

#[tokio::test]
async fn every_execution_is_answered_and_recorded() {
    let f = fixture(payments()).await;

    let charged = f.post("/charge/7", "r.1", r#"{"amount":5}"#).await.unwrap();
    let looked_up = f.get("/price?of=7").await;
    let records = f.get("/admin/records").await.body;

    assert_that!(charged.status, eq(200));
    assert_that!(
        charged.body,
        eq(&json!({
            "service": "payments",
            "execution": 1,
            "path": "/charge/7",
            "echo": { "amount": 5 },
        }))
    );
    assert_that!(charged.headers.contains_key("x-epoch"), eq(true));
    assert_that!(looked_up.body["execution"], eq(&json!(2)));
    assert_that!(records[0]["request_id"], eq(&json!("r.1")));
    assert_that!(records[0]["method"], eq(&json!("POST")));
    assert_that!(records[0]["non_repeatable"], eq(&json!(true)));
    assert_that!(
        records[0]["body_sha256"],
        eq(&json!(
            "7e84cbf0f7a7c92c037058665d66152f8eb8580ab2534e52c877bccceb9cc7bf"
        ))
    );
    assert_that!(records[1]["non_repeatable"], eq(&json!(false)));
}

#[tokio::test]
async fn failing_path_is_executed_and_answered_with_an_error() {
    let f = fixture(payments()).await;

    let failed = f.post("/fail", "r.1", "").await.unwrap();

    assert_that!(failed.status, eq(500));
    assert_that!(f.executions().await, eq(1));
}

#[tokio::test]
async fn lost_answer_leaves_an_execution_and_a_closed_connection() {
    let f = fixture(payments()).await;
    f.faults(json!({ "lose_answers": 1 })).await;

    let lost = f.post("/charge", "r.1", "").await;
    let answered = f.post("/charge", "r.2", "").await;

    assert_that!(lost, err(anything()));
    assert_that!(answered.unwrap().status, eq(200));
    assert_that!(f.executions().await, eq(2));
}

#[tokio::test]
async fn dead_service_answers_nothing_and_breaks_what_runs() {
    let f = fixture(payments().work(time::Duration::from_secs(10))).await;
    let running = f.post("/charge", "r.1", "");

    let (broken, ()) = tokio::join!(running, async {
        f.executing().await;
        f.faults(json!({ "dead": true })).await;
    });
    let unanswered = f.post("/charge", "r.2", "").await;
    let load = f.client.get(&f.url("/v1/load")).await;

    assert_that!(broken, err(anything()));
    assert_that!(unanswered, err(anything()));
    assert_that!(load, err(anything()));
    assert_that!(f.executions().await, eq(1));
}

#[tokio::test]
async fn leaving_service_refuses_new_calls_and_finishes_running_ones() {
    let f = fixture(payments().work(time::Duration::from_millis(300))).await;
    let running = f.post("/charge", "r.1", "");

    let (finished, refused) = tokio::join!(running, async {
        f.executing().await;
        f.faults(json!({ "leaving": true, "load_lag_ms": 0 })).await;
        f.post("/charge", "r.2", "").await
    });
    let load = f.get("/v1/load").await.body;

    assert_that!(finished.unwrap().status, eq(200));
    assert_that!(refused.unwrap().status, eq(503));
    assert_that!(load["leaving"], eq(&json!(true)));
    assert_that!(f.executions().await, eq(1));
}

#[tokio::test]
async fn cold_service_falls_over_beyond_its_limit_and_changes_its_epoch() {
    let settings = payments().start_cold(true).cold_limit(1);
    let f = fixture(settings.work(time::Duration::from_secs(10))).await;
    let before = f.get("/admin/counts").await.body;

    let (first, second) = tokio::join!(f.post("/charge", "r.1", ""), f.post("/charge", "r.2", ""));
    let refused = f.post("/charge", "r.3", "").await.unwrap();
    let after = f.get("/admin/counts").await.body;

    assert_that!(first, err(anything()));
    assert_that!(second, err(anything()));
    assert_that!(refused.status, eq(503));
    assert_that!(after["fell_over"], eq(&json!(1)));
    assert_that!(after["max_running_cold"], eq(&json!(2)));
    assert_that!(after["executions"], eq(&json!(2)));
    assert_that!(after["epoch"].as_u64(), gt(before["epoch"].as_u64()));
}

#[tokio::test]
async fn load_report_lags_and_says_how_old_it_is() {
    let f = fixture(payments().work(time::Duration::from_secs(60))).await;
    let running = f.post("/charge", "r.1", "");

    let looks = async {
        f.executing().await;
        f.faults(json!({ "load_lag_ms": 60_000 })).await;
        let lagging = f.get("/v1/load").await.body;
        f.faults(json!({ "load_lag_ms": 0 })).await;
        (lagging, f.get("/v1/load").await.body)
    };
    let seen = tokio::select! {
        seen = looks => Some(seen),
        _ = running => None,
    };
    let (lagging, present) = seen.unwrap();

    assert_that!(lagging["running"], eq(&json!(0)));
    assert_that!(lagging["age_ms"], eq(&json!(60_000)));
    assert_that!(present["running"], eq(&json!(1)));
    assert_that!(present["held"][0]["id"], eq(&json!("r.1")));
    assert_that!(present["memory_tokens"], eq(&json!(0)));
}

#[tokio::test]
async fn wrong_faults_are_refused_with_a_reason() {
    let f = fixture(payments()).await;
    let wrong = [
        json!({ "lead": true }),
        json!({ "load_lag_ms": 60_001 }),
        json!({ "dead": 1 }),
    ];

    for faults in wrong {
        let answer = f.client.put(&f.url("/admin/faults"), &faults).await;
        let answer = answer.unwrap();

        assert_that!(answer.status, eq(400));
        assert_that!(answer.body["reason"].as_str(), some(not(eq(""))));
    }
}

#[test]
fn cold_service_is_warm_after_enough_finished_calls() {
    let settings = payments().start_cold(true).warm_after(2);
    let mut machine = machine::Machine::new(settings, 1);

    let first = machine.begin(&call("/charge"), NOW).unwrap();
    machine.finish(first.execution);
    let between = machine.load().warmth;
    let second = machine.begin(&call("/charge"), NOW).unwrap();
    machine.finish(second.execution);

    assert_that!(between, eq(load_report::Warmth::Cold));
    assert_that!(machine.load().warmth, eq(load_report::Warmth::Warm));
    assert_that!(first.work, eq(time::Duration::from_millis(80)));
}

#[test]
fn warm_service_turns_cold_at_once_and_keeps_what_runs() {
    let mut machine = machine::Machine::new(payments().cold_limit(2), 1);
    let running = machine.begin(&call("/charge"), NOW).unwrap();

    let change = faults_change::FaultsChange {
        turn_cold: true,
        ..faults_change::FaultsChange::default()
    };
    machine.change_faults(&change).unwrap();

    assert_that!(machine.load().warmth, eq(load_report::Warmth::Cold));
    assert_that!(machine.epoch(), eq(2));
    assert_that!(machine.finish(running.execution), eq(true));
}

#[test]
fn fallen_service_serves_again_after_its_pause() {
    let settings = payments().start_cold(true).cold_limit(1);
    let mut machine = machine::Machine::new(settings, 1);
    machine.begin(&call("/charge"), NOW).unwrap();
    machine.begin(&call("/charge"), NOW).unwrap();

    let during = machine.begin(&call("/charge"), NOW + time::Duration::from_secs(4));
    let after = machine.begin(&call("/charge"), NOW + time::Duration::from_secs(5));

    assert_that!(during, err(eq(refusal::Refusal::FellOver)));
    assert_that!(after, ok(anything()));
    assert_that!(machine.counts().fell_over, eq(1));
}

#[test]
fn full_service_refuses_without_an_execution() {
    let mut machine = machine::Machine::new(payments().max_running(1), 1);
    machine.begin(&call("/charge"), NOW).unwrap();

    let refused = machine.begin(&call("/charge"), NOW);

    assert_that!(refused, err(eq(refusal::Refusal::TooManyRunning)));
    assert_that!(machine.counts().executions, eq(1));
}
