//! Cache events, KV export and the form of the engine's answers over HTTP.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use googletest::prelude::*;
use mustardshed_standins::{
    engine::{server, settings},
    json_client,
};
use serde_json::json;

struct Fixture {
    _engine: server::Engine,
    base: String,
    client: json_client::JsonClient,
}

impl Fixture {
    async fn start() -> Self {
        let settings = settings::Settings {
            time_scale: 100.0,
            ..settings::Settings::default()
        };
        let engine = server::Engine::bind(settings).await.unwrap();
        Self {
            base: format!("http://{}", engine.address()),
            _engine: engine,
            client: json_client::JsonClient::open(),
        }
    }

    async fn get(&self, path: &str) -> json_client::Answer {
        let url = format!("{}{path}", self.base);
        self.client.get(&url).await.unwrap()
    }

    async fn post(&self, path: &str, body: &serde_json::Value) -> json_client::Answer {
        let url = format!("{}{path}", self.base);
        self.client.post(&url, body).await.unwrap()
    }

    async fn set_faults(&self, faults: &serde_json::Value) -> json_client::Answer {
        let url = format!("{}/admin/faults", self.base);
        self.client.put(&url, faults).await.unwrap()
    }

    /// Runs a prompt to its end and returns the status.
    async fn run(&self, id: &str, body: &serde_json::Value) -> u16 {
        let req = http::Request::post(format!("{}/v1/completions", self.base))
            .header("x-request-id", id)
            .body(json_client::Body::from(body.to_string()));
        self.client.send(req).await.unwrap().status
    }
}

fn completion(tokens: usize) -> serde_json::Value {
    json!({"model": "draft", "prompt": "word".repeat(tokens), "max_tokens": 2})
}

#[tokio::test]
async fn cache_events_name_the_stored_prefixes() {
    let engine = Fixture::start().await;
    engine
        .set_faults(&json!({"event_lag_ms": 0, "drop_events_percent": 0}))
        .await;
    engine.run("vm1.1.1", &completion(600)).await;

    let events = engine.get("/v1/cache/events?since=0").await.body;
    let rest = engine.get("/v1/cache/events?since=2").await.body;

    let tokens: Vec<_> = events["events"].as_array().unwrap().iter().collect();
    assert_that!(tokens.len(), eq(2));
    assert_that!(tokens[0]["kind"], eq(&json!("stored")));
    assert_that!(rest, eq(&json!({"events": [], "next": 2})));
}

#[tokio::test]
async fn lost_cache_events_leave_gaps() {
    let engine = Fixture::start().await;
    engine
        .set_faults(&json!({"event_lag_ms": 0, "drop_events_percent": 100}))
        .await;
    engine.run("vm1.1.1", &completion(600)).await;

    let events = engine.get("/v1/cache/events?since=0").await.body;

    assert_that!(events, eq(&json!({"events": [], "next": 2})));
}

#[tokio::test]
async fn an_exported_kv_cache_spares_the_importer_the_prefill() {
    let (from, to) = (Fixture::start().await, Fixture::start().await);
    from.run("vm1.1.1", &completion(600)).await;

    let exported = from.post("/v1/kv/export", &json!({"id": "vm1.1.1"})).await;
    let unknown = from.post("/v1/kv/export", &json!({"id": "vm1.1.2"})).await;
    let imported = to.post("/v1/kv/import", &exported.body).await;
    let malformed = json!({"handle": "abc", "tokens": 1});
    let malformed = to.post("/v1/kv/import", &malformed).await;

    assert_that!(exported.body["tokens"], eq(&json!(512)));
    assert_that!(unknown.status, eq(404));
    assert_that!(imported.body, eq(&json!({"tokens": 512})));
    assert_that!(malformed.status, eq(400));
}

#[tokio::test]
async fn prompts_may_be_integers() {
    let engine = Fixture::start().await;

    let whole = json!({"model": "draft", "prompt": [1, 2, 3], "max_tokens": 2});
    let negative = json!({"model": "draft", "prompt": [-1], "max_tokens": 2});

    assert_that!(engine.run("vm1.1.1", &whole).await, eq(200));
    assert_that!(engine.run("vm1.1.2", &negative).await, eq(400));
    let records = engine.get("/admin/records").await.body;
    assert_that!(records["requests"][0]["tokens"], eq(&json!(5)));
}

#[tokio::test]
async fn every_answer_names_the_epoch() {
    let engine = Fixture::start().await;

    let before = engine.get("/v1/load").await;
    engine.set_faults(&json!({"turn_cold": true})).await;
    let after = engine.get("/nowhere").await;

    assert_that!(before.headers["x-epoch"].to_str().unwrap(), eq("1"));
    assert_that!(after.headers["x-epoch"].to_str().unwrap(), eq("2"));
    assert_that!(after.status, eq(404));
}

#[tokio::test]
async fn a_load_report_lags() {
    let engine = Fixture::start().await;
    engine
        .set_faults(&json!({"load_lag_ms": 1_000_000_000}))
        .await;
    engine.set_faults(&json!({"turn_cold": true})).await;

    let late = engine.get("/v1/load").await.body;
    engine.set_faults(&json!({"load_lag_ms": 0})).await;
    let fresh = engine.get("/v1/load").await.body;

    assert_that!(late["epoch"], eq(&json!(1)));
    assert_that!(fresh["warmth"], eq(&json!("cold")));
}

#[tokio::test]
async fn an_unknown_fault_is_refused() {
    let engine = Fixture::start().await;

    let refused = engine.set_faults(&json!({"explode": true})).await;

    assert_that!(refused.status, eq(400));
}
