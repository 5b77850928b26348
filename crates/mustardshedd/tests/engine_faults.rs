//! Injected faults of the stand-in engine, seen through the client of backend servers.

#![expect(clippy::unwrap_used, reason = "fixtures of tests")]

use bytes::Bytes;
use futures_util::StreamExt;
use googletest::prelude::*;
use mustardshed::core::boundary::backend_server::{
    BackendServer, BackendServerError, EngineRequest, PromptFormat, TokenFrame, TokenStream,
};
use mustardshed_standins::{
    engine::{server, settings},
    json_client, oracle,
};
use mustardshedd::connection::backend_server;

const ID: &str = "vm1.1.1";

struct Fixture {
    engine: server::Engine,
    address: String,
    admin: json_client::JsonClient,
    client: backend_server::Client,
}

impl Fixture {
    async fn start() -> Self {
        let settings = settings::Settings {
            memory_tokens: 10_000,
            time_scale: 20.0,
            ..settings::Settings::default()
        };
        let engine = server::Engine::bind(settings).await.unwrap();
        let address = engine.address().to_string();
        Self {
            engine,
            address,
            admin: json_client::JsonClient::open(),
            client: backend_server::open(backend_server::Timeouts::default()),
        }
    }

    async fn set_faults(&self, faults: serde_json::Value) {
        let url = format!("http://{}/admin/faults", self.address);
        let response = self.admin.put(&url, &faults).await.unwrap();
        assert_eq!(response.status, 200);
    }

    async fn records(&self) -> serde_json::Value {
        let url = format!("http://{}/admin/records", self.address);
        self.admin.get(&url).await.unwrap().body
    }

    async fn generate(&self, req: EngineRequest) -> TokenStream {
        self.client.generate(&self.address, req).await.unwrap()
    }

    /// Waits until the engine runs nothing; only the timeout of the test runner bounds the wait.
    async fn wait_until_idle(&self) {
        self.set_faults(serde_json::json!({"load_lag_ms": 0})).await;
        while self.client.load(&self.address).await.unwrap().running != 0 {
            tokio::task::yield_now().await;
        }
    }

    /// Waits until nothing holds memory; only the timeout of the test runner bounds the wait.
    async fn wait_until_empty(&self) {
        while self.records().await["used_tokens"] != 0 {
            tokio::task::yield_now().await;
        }
    }
}

fn prompt(tokens: usize) -> String {
    "word".repeat(tokens)
}

fn request(tokens: usize, max_tokens: u64) -> EngineRequest {
    EngineRequest {
        id: String::from(ID),
        model: String::from("draft"),
        prompt: Bytes::from(prompt(tokens)),
        prompt_format: PromptFormat::Text,
        prompt_tokens: tokens as u64,
        max_tokens,
        offset: 0,
        priority: 0,
        gang: Vec::new(),
    }
}

async fn read_all(mut stream: TokenStream) -> (Vec<TokenFrame>, Option<BackendServerError>) {
    let mut frames = Vec::new();
    while let Some(item) = stream.next().await {
        match item {
            Ok(frame) => frames.push(frame),
            Err(e) => return (frames, Some(e)),
        }
    }
    (frames, None)
}

fn text(frames: &[TokenFrame]) -> String {
    frames.iter().map(|frame| frame.text.as_str()).collect()
}

async fn reserve_on_all(engines: &[Fixture], tokens: u64) -> Vec<String> {
    let id = String::from(ID);
    for engine in engines {
        let reserved = engine.client.reserve(&engine.address, &id, tokens).await;
        reserved.unwrap();
    }
    engines.iter().map(|e| e.address.clone()).collect()
}

#[tokio::test]
async fn a_broken_stream_resumes_and_gives_each_token_once() {
    let engine = Fixture::start().await;
    engine
        .set_faults(serde_json::json!({"break_streams_after_tokens": 4}))
        .await;
    let id = String::from(ID);

    let mut stream = engine.generate(request(8, 10)).await;
    let mut frames = Vec::new();
    let mut breaks = 0;
    loop {
        let (part, error) = read_all(stream).await;
        frames.extend(part);
        if error.is_none() {
            break;
        }
        breaks += 1;
        let offset = frames.len() as u64;
        let resumed = engine.client.resume(&engine.address, &id, offset).await;
        stream = resumed.unwrap();
    }

    assert_that!(breaks, eq(2));
    let offsets: Vec<u64> = frames.iter().map(|frame| frame.offset).collect();
    assert_that!(offsets, eq(&(0..10).collect::<Vec<_>>()));
    let expected = oracle::Oracle::of_text(&prompt(8)).text(0, 10);
    assert_that!(text(&frames), eq(&expected));
}

#[tokio::test]
async fn crossed_frames_carry_another_id_and_own_frames_are_complete() {
    let engine = Fixture::start().await;
    engine
        .set_faults(serde_json::json!({"cross_frames": true}))
        .await;

    let (frames, error) = read_all(engine.generate(request(8, 20)).await).await;
    let (own, crossed): (Vec<_>, Vec<_>) = frames.into_iter().partition(|f| f.id == ID);

    assert_that!(error, none());
    assert_that!(crossed, not(is_empty()));
    let expected = oracle::Oracle::of_text(&prompt(8)).text(0, 20);
    assert_that!(text(&own), eq(&expected));
}

#[tokio::test]
async fn a_dead_engine_breaks_streams_and_does_not_respond() {
    let engine = Fixture::start().await;
    let stream = engine.generate(request(8, 5_000)).await;
    engine.set_faults(serde_json::json!({"dead": true})).await;

    let (_, error) = read_all(stream).await;
    let load = engine.client.load(&engine.address).await;
    engine
        .set_faults(serde_json::json!({"dead": false, "load_lag_ms": 0}))
        .await;
    let revived = engine.client.load(&engine.address).await.unwrap();

    assert!(matches!(error, Some(BackendServerError::Broken(_))));
    assert!(matches!(load, Err(BackendServerError::Broken(_))));
    assert_that!(revived.epoch, eq(2));
    assert_that!(
        engine.records().await["used_tokens"],
        eq(&serde_json::json!(0))
    );
}

#[tokio::test]
async fn a_request_keeps_running_without_its_reader_until_it_is_cancelled() {
    let engine = Fixture::start().await;
    drop(engine.generate(request(8, 9_000)).await);
    let running = engine.records().await;

    let id = String::from(ID);
    engine.client.cancel(&engine.address, &id).await.unwrap();
    let cancelled = engine.records().await;

    assert_that!(running["used_tokens"], eq(&serde_json::json!(9_008)));
    assert_that!(cancelled["used_tokens"], eq(&serde_json::json!(0)));
    let outcome = &cancelled["requests"][0]["outcome"];
    assert_that!(outcome, eq(&serde_json::json!("cancelled")));
}

#[tokio::test]
async fn a_gang_runs_a_prompt_that_exceeds_one_engine() {
    let engines = [
        Fixture::start().await,
        Fixture::start().await,
        Fixture::start().await,
    ];
    let req = EngineRequest {
        gang: reserve_on_all(&engines, 8_002).await,
        ..request(24_000, 6)
    };

    let (frames, error) = read_all(engines[0].generate(req).await).await;
    for engine in &engines {
        engine.wait_until_idle().await;
    }
    let id = String::from(ID);
    for engine in &engines {
        engine.client.release(&engine.address, &id).await.unwrap();
    }

    assert_that!(error, none());
    let expected = oracle::Oracle::of_text(&prompt(24_000)).text(0, 6);
    assert_that!(text(&frames), eq(&expected));
    for engine in &engines {
        engine.wait_until_empty().await;
    }
}

#[tokio::test]
async fn cancelling_a_gang_at_its_leader_ends_every_shard() {
    let engines = [Fixture::start().await, Fixture::start().await];
    let req = EngineRequest {
        gang: reserve_on_all(&engines, 9_000).await,
        ..request(16_000, 2_000)
    };
    drop(engines[0].generate(req).await);

    let id = String::from(ID);
    let leader = &engines[0];
    leader.client.cancel(&leader.address, &id).await.unwrap();

    for engine in &engines {
        engine.wait_until_idle().await;
        assert_that!(
            engine.records().await["used_tokens"],
            eq(&serde_json::json!(9_000))
        );
    }
}

#[tokio::test]
async fn a_gang_fails_when_one_engine_loses_its_shard() {
    let engines = [Fixture::start().await, Fixture::start().await];
    let req = EngineRequest {
        gang: reserve_on_all(&engines, 9_000).await,
        ..request(16_000, 2_000)
    };
    let stream = engines[0].generate(req).await;

    engines[1]
        .set_faults(serde_json::json!({"dead": true}))
        .await;
    let (_, error) = read_all(stream).await;
    let id = String::from(ID);
    let released = engines[0].client.release(&engines[0].address, &id).await;

    assert!(matches!(error, Some(BackendServerError::Broken(_))));
    assert_that!(released, ok(anything()));
    engines[0].wait_until_empty().await;
}

#[tokio::test]
async fn a_gang_with_a_missing_reservation_is_refused_and_holds_no_memory() {
    let engines = [Fixture::start().await, Fixture::start().await];
    let addresses = reserve_on_all(&engines[..1], 9_000).await;
    let req = EngineRequest {
        gang: vec![addresses[0].clone(), engines[1].address.clone()],
        ..request(16_000, 2_000)
    };

    let refused = engines[0].client.generate(&engines[0].address, req).await;
    let id = String::from(ID);
    let released = engines[0].client.release(&engines[0].address, &id).await;

    let incomplete = BackendServerError::Refused(String::from("gang_incomplete"));
    assert_that!(refused.err(), some(eq(&incomplete)));
    assert_that!(released, ok(anything()));
    engines[0].wait_until_empty().await;
    engines[1].wait_until_empty().await;
}

#[tokio::test]
async fn an_engine_that_is_gone_is_unreachable() {
    let engine = Fixture::start().await;
    let Fixture {
        engine: running,
        address,
        client,
        ..
    } = engine;
    drop(running);
    tokio::task::yield_now().await;

    let load = client.load(&address).await;

    assert!(matches!(load, Err(BackendServerError::Unreachable(_))));
}
