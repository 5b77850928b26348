//! An entry whose dependencies are all fakes.

use std::{collections, sync, time};

use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};
use mustardshed::{
    config::text,
    core::{boundary::backend_server, process::snapshot},
};
use mustardshedd::{
    http::{cx, limits, server},
    log::metrics,
    request,
};
use sha2::Digest;

use crate::fakes::{clock, control, operator, servers};

/// Time within which every response must come, even on a busy machine; longer than any deadline.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Key of the client account `bindery`.
pub const KEY: &str = "bindery-key";
/// Key of the client account `haulers`.
pub const OTHER_KEY: &str = "haulers-key";

/// An entry whose dependencies are all fakes.
#[derive(Debug)]
pub struct Entry {
    pub control: sync::Arc<control::FakeControl>,
    pub servers: sync::Arc<servers::FakeServers>,
    pub server: server::Server,
}

/// A response, read to its end.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
}

impl Response {
    /// Returns the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the code of the error, if the body has one.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the outcome of an error.
    pub fn outcome(&self) -> String {
        self.json()["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

impl Entry {
    /// Starts an entry.
    pub async fn start() -> Self {
        Self::start_with(limits::Limits::default()).await
    }

    /// Starts an entry with these limits of the listener.
    pub async fn start_with(limits: limits::Limits) -> Self {
        let clock = sync::Arc::new(clock::FakeClock::new());
        let control = sync::Arc::new(control::FakeControl::new(
            sync::Arc::clone(&clock),
            snapshot(),
        ));
        let servers = sync::Arc::new(servers::FakeServers::default());
        let requests = request::cx::Cx::new(
            sync::Arc::clone(&control) as _,
            sync::Arc::clone(&servers) as _,
            sync::Arc::clone(&clock) as _,
            metrics::Metrics::disabled(),
            limits.max_in_flight,
            7,
        );
        let cx = cx::Cx::new(requests, sync::Arc::new(operator::FakeOperator), limits);
        let addr = "127.0.0.1:0".parse().unwrap();
        let server = server::bind(addr, sync::Arc::new(cx)).await.unwrap();
        Self {
            control,
            servers,
            server,
        }
    }

    /// Sends a request and reads the response to its end, within [`RESPONSE_TIMEOUT`].
    pub async fn send(&self, req: http::request::Builder, body: &str) -> Response {
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, self.exchange(req, body)).await;
        response.unwrap()
    }

    async fn exchange(&self, req: http::request::Builder, body: &str) -> Response {
        let client: legacy::Client<_, String> =
            legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        let req = req.body(body.to_owned()).unwrap();
        let response = client.request(req).await.unwrap();
        let (parts, body) = response.into_parts();
        let buf = body.collect().await.unwrap().to_bytes();
        Response {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8_lossy(&buf).into_owned(),
        }
    }

    /// Makes a request with the key of `bindery`.
    pub fn request(&self, method: &str, path: &str) -> http::request::Builder {
        http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.server.local_addr()))
            .header("authorization", format!("Bearer {KEY}"))
            .header("content-type", "application/json")
    }

    /// Sends a text completion with a deadline in milliseconds.
    pub async fn complete(&self, body: &str, deadline_ms: u64) -> Response {
        let req = self
            .request("POST", "/v1/completions")
            .header("x-deadline-ms", deadline_ms);
        self.send(req, body).await
    }

    /// Waits until all credits are released and all fates recorded; fails if a credit is released
    /// twice or never, or a fate is not recorded.
    pub async fn assert_balanced(&self) {
        for _ in 0..500 {
            if self.server.in_flight() == 0 && self.control.is_balanced() {
                break;
            }
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
        assert_eq!(self.server.wait_for_settlements(RESPONSE_TIMEOUT).await, 0);
        assert!(
            self.control.is_balanced(),
            "{:?}",
            self.control.seen(|seen| format!("{seen:?}"))
        );
    }
}

/// Body of a completion request that is not streamed.
pub const PROMPT: &str = r#"{"model":"drafts","prompt":"spine lettering","max_tokens":3}"#;
/// Body of a completion request that is streamed.
pub const STREAMED: &str =
    r#"{"model":"drafts","prompt":"spine lettering","max_tokens":3,"stream":true}"#;

/// Makes a snapshot with three runners in two data centres and two ledgers.
pub fn snapshot() -> snapshot::Snapshot {
    let servers = [
        server("r1", "runner", "east"),
        server("r2", "runner", "east"),
        server("r3", "runner", "west"),
        server("l1", "ledger", "east"),
        server("l2", "ledger", "west"),
    ];
    let member = snapshot::MemberView {
        vm: "entry-1".to_owned(),
        incarnation: 1,
        address: "127.0.0.1:1".to_owned(),
        data_centre: "east".to_owned(),
        leaving: false,
        live: true,
        generation: 1,
        busy: 0,
    };
    snapshot::Snapshot {
        taken_at: time::Duration::ZERO,
        vm: "entry-1".to_owned(),
        incarnation: 1,
        data_centre: "east".to_owned(),
        generation: 1,
        text: sync::Arc::new(text()),
        data_centres_out: collections::BTreeSet::new(),
        may_place_until: time::Duration::from_secs(1_000_000),
        leaving: false,
        servers: servers.into_iter().map(|s| (s.id.clone(), s)).collect(),
        members: collections::BTreeMap::from([(member.vm.clone(), member)]),
        latencies: collections::BTreeMap::new(),
    }
}

fn server(id: &str, kind: &str, data_centre: &str) -> snapshot::ServerView {
    snapshot::ServerView {
        id: id.to_owned(),
        address: id.to_owned(),
        kind: kind.to_owned(),
        data_centre: data_centre.to_owned(),
        warmth: backend_server::Warmth::Warm,
        epoch: 1,
        reachable: true,
        leaving: false,
        models: collections::BTreeMap::from([("hymnal".to_owned(), "1".to_owned())]),
        memory_tokens: 1_000,
        used_tokens: 0,
        queued_prefill_tokens: 0,
        running: 0,
        prefill_tokens_per_second: 0.0,
        reported_at: time::Duration::ZERO,
        steward: Some("entry-1".to_owned()),
    }
}

fn text() -> text::Text {
    let kind = text::EngineKind {
        name: "runner".to_owned(),
        memory_tokens: 1_000,
        max_running: 8,
        cold_limit: 1,
        warm_after: 2,
        prefill_tokens_per_second: 100_000,
        fencing: text::Fencing::Checked,
    };
    let model = text::Model {
        name: "hymnal".to_owned(),
        engine_kind: kind.name.clone(),
        version: "1".to_owned(),
        context_tokens: 2_500,
        bytes_per_token: 4,
        adapters: Vec::new(),
    };
    let drafts = service(
        "drafts",
        text::Backing::Model {
            model: model.name.clone(),
        },
    );
    let ledger = service(
        "ledger",
        text::Backing::Plain {
            non_repeatable: vec!["POST /charge".to_owned()],
            max_running: 8,
            cold_limit: 1,
        },
    );
    let accounts = [account("bindery", KEY), account("haulers", OTHER_KEY)];
    text::Text {
        data_centres: collections::BTreeMap::new(),
        engine_kinds: collections::BTreeMap::from([(kind.name.clone(), kind)]),
        models: collections::BTreeMap::from([(model.name.clone(), model)]),
        services: [drafts, ledger]
            .into_iter()
            .map(|s| (s.name.clone(), s))
            .collect(),
        client_accounts: accounts.into_iter().map(|a| (a.name.clone(), a)).collect(),
    }
}

fn service(name: &str, backing: text::Backing) -> text::Service {
    text::Service {
        name: name.to_owned(),
        backing,
        depends_on: Vec::new(),
        default_deadline: time::Duration::from_secs(20),
        max_deadline: time::Duration::from_secs(60),
        retry_percent: 10,
    }
}

fn account(name: &str, key: &str) -> text::ClientAccount {
    text::ClientAccount {
        name: name.to_owned(),
        key_digests: vec![sha2::Sha256::digest(key.as_bytes()).into()],
        weight: 1,
        max_running: 16,
        services: Vec::new(),
    }
}
