//! Fixture of a platform, servers, and entries that forward to them.

use std::{
    net,
    sync::{self, atomic},
    time,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper_util::{client::legacy, rt};
use mustardshed::{
    config::{forwarding, settings},
    core::{boundary::clock as core_clock, ids},
    platform::objects,
};
use mustardshed_standins::{http as standin_http, json_client, platform as standin};
use mustardshedd::{
    forward::{cx, listeners, memory, metrics, service},
    process::clock,
};
use serde_json::json;

use crate::server;

/// Longest wait for a condition; far longer than a loaded machine needs.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Interval between checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Host of all routes.
pub(crate) const HOST: &str = "shed.example";
/// Key of the only account.
pub(crate) const KEY: &str = "key-1";

/// A response as received by a client.
#[derive(Clone, Debug)]
pub(crate) struct ClientResponse {
    pub(crate) status: u16,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: String,
    /// Whether the body arrived completely.
    pub(crate) is_whole: bool,
}

impl ClientResponse {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Clock of an entry whose VM can be suspended.
#[derive(Debug, Default)]
pub(crate) struct SuspendableClock {
    suspended_ms: atomic::AtomicU64,
}

impl SuspendableClock {
    /// Lets the time of a suspension pass at once.
    pub(crate) fn suspend(&self, ms: u64) {
        self.suspended_ms.fetch_add(ms, atomic::Ordering::SeqCst);
    }
}

impl core_clock::Clock for SuspendableClock {
    fn now(&self) -> ids::Timestamp {
        let suspended = self.suspended_ms.load(atomic::Ordering::SeqCst);
        clock::BootClock.now() + time::Duration::from_millis(suspended)
    }
}

/// A platform with servers and entries.
pub(crate) struct Fixture {
    platform: standin_http::Server,
    http: json_client::JsonClient,
    client: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>,
}

/// A running entry with a runtime of its own, which stops when dropped.
pub(crate) struct Entry {
    pub(crate) cx: sync::Arc<cx::Cx>,
    listeners: Vec<listeners::Listener>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.listeners.clear();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Entry {
    /// Waits until the entry accepts requests.
    pub(crate) async fn ready(self) -> Self {
        wait_until("the entry to be ready", || self.cx.takes_work()).await;
        self
    }
}

/// Waits until `holds` returns true; panics with `what` if that takes too long.
pub(crate) async fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    assert!(holds_in_time(holds).await, "waited too long for {what}");
}

/// Waits until `holds` returns true; returns false if that takes too long.
pub(crate) async fn holds_in_time(mut holds: impl FnMut() -> bool) -> bool {
    let started_at = time::Instant::now();
    while !holds() {
        if started_at.elapsed() >= TIMEOUT {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    true
}

/// Waits until each entry knows that the others are registered and alive.
pub(crate) async fn wait_until_acquainted(entries: &[&Entry]) {
    wait_until("the entries to know each other", || {
        entries.iter().all(|entry| {
            let now = entry.cx.now();
            let state = entry.cx.state();
            state.live_entries.alive_count(now) + 1 == entries.len()
                && state.view.members().len() == entries.len()
        })
    })
    .await;
}

/// Returns a loopback address that no other test uses: on a shared address, another test might take
/// a port that was just free.
pub(crate) fn unique_ip() -> net::Ipv4Addr {
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
    let [.., host] = (number + 1).to_be_bytes();
    let [.., high, low] = std::process::id().to_be_bytes();
    net::Ipv4Addr::new(127, high.max(1), low, host)
}

/// Returns the URL of an object, whose name may hold any characters.
fn object_url(kind_url: &str, name: &str) -> String {
    let name = percent_encoding::utf8_percent_encode(name, percent_encoding::NON_ALPHANUMERIC);
    format!("{kind_url}/{name}")
}

fn bounds() -> forwarding::Bounds {
    forwarding::Bounds {
        fail_closed: true,
        application: time::Duration::from_secs(2),
        revocation: time::Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_allowance: 100.0,
        retry_window: time::Duration::from_secs(10),
        grace: time::Duration::from_secs(8),
        memory_release: time::Duration::from_secs(4),
        memory_idle: time::Duration::from_secs(9),
    }
}

impl Fixture {
    /// Starts a platform without objects.
    pub(crate) async fn empty() -> Self {
        let platform = standin::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        Self {
            platform,
            http: json_client::JsonClient::open(),
            client: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
        }
    }

    /// Starts a platform with these servers of the service `runners` and a configuration.
    pub(crate) async fn with(servers: &[&server::Server]) -> Self {
        let fixture = Self::empty().await;
        fixture.configure(1, &[KEY]).await;
        for server in servers {
            fixture.list(server, "ready", "north").await;
        }
        fixture
    }

    /// Writes a configuration with the routes `/once/`, `/again/`, `/stream/` and `/open/`.
    pub(crate) async fn configure(&self, version: u64, keys: &[&str]) {
        let account = json!({ "name": "chapel", "api_keys": keys });
        self.configure_accounts(version, json!([account])).await;
    }

    /// Writes the same with these accounts.
    pub(crate) async fn configure_accounts(&self, version: u64, accounts: serde_json::Value) {
        self.configure_with_limit(version, accounts, 1_000).await;
    }

    /// Writes the same with a limit on request bodies.
    pub(crate) async fn configure_with_limit(
        &self,
        version: u64,
        accounts: serde_json::Value,
        max_body_bytes: usize,
    ) {
        let route = |name: &str, kind: &str, attempts: u32| {
            json!({
                "name": name, "host": HOST, "path_prefix": format!("/{name}/"),
                "route_type": kind, "timeout_ms": 20_000, "target_latency_ms": 300,
                "gap_aim_ms": 200, "priority": 1, "service": "runners",
                "max_attempts": attempts, "public": name == "open",
                "resumable": kind == "streaming",
            })
        };
        let config = json!({
            "version": version,
            "routes": [
                route("once", "non_idempotent", 1),
                route("again", "idempotent", 2),
                route("stream", "streaming", 2),
                route("open", "idempotent", 2),
            ],
            "services": [{ "name": "runners", "max_connections": 100 }],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": max_body_bytes,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": accounts,
        });
        self.write("config", "main", config).await;
    }

    /// Writes a configuration with the routes `/long/`, `/long/resumable/` and `/short/` to engines.
    pub(crate) async fn configure_engine(&self, version: u64) {
        let engine = json!({
            "slots": 16, "kv_capacity_tokens": 450_000, "stride": 46, "step_ms": 0.925,
            "per_seq_ms": 0.005, "context_per_k": 0.002, "read_per_s": 256_000.0,
            "pairs_per_m": 0.09, "chunk": 2_048,
        });
        let route = |name: &str, prefix: &str, attempts: u32, target_ms: u64| {
            json!({
                "name": name, "host": HOST, "path_prefix": prefix, "route_type": "streaming",
                "timeout_ms": 60_000, "target_latency_ms": target_ms, "gap_aim_ms": 1_000,
                "service": "runners", "max_attempts": attempts, "public": true,
                "resumable": attempts > 1,
            })
        };
        let config = json!({
            "version": version,
            "routes": [
                route("long", "/long/", 1, 20_000),
                route("resumable", "/long/resumable/", 2, 20_000),
                route("short", "/short/", 1, 300),
            ],
            "services": [{ "name": "runners", "max_connections": 100, "engine": engine }],
        });
        self.write("config", "main", config).await;
    }

    /// Writes objects that fill a page of a list but for `left` ones, before most other names: leaving
    /// servers, if that is their kind.
    pub(crate) async fn fill_page(&self, kind: &str, left: usize) {
        /// Objects in a page of the stand-in.
        const PAGE_ITEMS: usize = 500;
        let leaving = json!({
            "service": "runners", "address": "127.0.0.1:9", "zone": "north", "version": "v1",
            "slots": 16, "state": "draining", "cold_left_ms": 0, "seq": 1,
        });
        for i in 0..PAGE_ITEMS - left {
            self.write(kind, &format!("!{i:03}"), leaving.clone()).await;
        }
    }

    /// Lists a server in a state and a data centre.
    pub(crate) async fn list(&self, server: &server::Server, state: &str, data_centre: &str) {
        let entry = json!({
            "service": "runners", "address": server.address.to_string(), "zone": data_centre,
            "version": "v1", "slots": 16, "state": state, "cold_left_ms": 0, "seq": 1,
            "born": 1_788_000_000_000_u64,
        });
        self.write("servers", &server.id, entry).await;
    }

    /// Creates or replaces an object.
    pub(crate) async fn write(&self, kind: &str, name: &str, spec: serde_json::Value) {
        let body = json!({ "metadata": { "name": name }, "spec": spec });
        let kind_url = format!("{}/api/objects/{kind}", self.platform.url());
        let created = self.http.post(&kind_url, &body).await.unwrap();
        if created.status == 409 {
            let url = object_url(&kind_url, name);
            assert_eq!(self.http.put(&url, &body).await.unwrap().status, 200);
        }
    }

    /// Removes an object.
    pub(crate) async fn remove(&self, kind: &str, name: &str) {
        let kind_url = format!("{}/api/objects/{kind}", self.platform.url());
        let url = object_url(&kind_url, name);
        let req = http::Request::delete(url).body(Bytes::new().into());
        assert_eq!(self.http.send(req).await.unwrap().status, 200);
    }

    /// Returns the address of the platform.
    pub(crate) fn platform_address(&self) -> net::SocketAddr {
        let url = self.platform.url();
        url.trim_start_matches("http://").parse().unwrap()
    }

    /// Sets the faults that the platform simulates.
    pub(crate) async fn faults(&self, faults: serde_json::Value) {
        let url = format!("{}/admin/faults", self.platform.url());
        assert_eq!(self.http.put(&url, &faults).await.unwrap().status, 200);
    }

    /// Makes the platform keep a copy of all objects.
    pub(crate) async fn copy_platform(&self) {
        self.admin("copy").await;
    }

    /// Restores the platform from its last copy.
    pub(crate) async fn restore_platform(&self) {
        self.admin("restore").await;
    }

    async fn admin(&self, order: &str) {
        let url = format!("{}/admin/{order}", self.platform.url());
        let nothing = serde_json::Value::Null;
        assert_eq!(self.http.post(&url, &nothing).await.unwrap().status, 200);
    }

    /// Returns the number of calls of the platform's object API.
    pub(crate) async fn platform_calls(&self) -> u64 {
        let url = format!("{}/admin/calls", self.platform.url());
        let calls = self.http.get(&url).await.unwrap().body;
        calls["total"].as_u64().unwrap()
    }

    /// Starts an entry with the usual settings.
    pub(crate) async fn entry(&self, vm: &str) -> Entry {
        self.entry_with(vm, |_| ()).await
    }

    /// Starts an entry that limits accounts to fair shares.
    pub(crate) async fn entry_with_fair_shares(&self, vm: &str) -> Entry {
        self.entry_with(vm, |cfg| cfg.accounts.fair_shares = true)
            .await
    }

    /// Starts an entry that knows how often servers renew their registrations.
    pub(crate) async fn entry_with_heartbeat(&self, vm: &str, heartbeat: time::Duration) -> Entry {
        self.entry_with(vm, |cfg| cfg.server_heartbeat = Some(heartbeat))
            .await
    }

    /// Starts an entry whose configuration counts as stale after `revocation`.
    pub(crate) async fn entry_with_revocation(
        &self,
        vm: &str,
        revocation: time::Duration,
    ) -> Entry {
        self.entry_with(vm, |cfg| cfg.bounds.revocation = revocation)
            .await
    }

    /// Starts an entry that reads up to `bytes` bytes of a stream ahead of its client.
    pub(crate) async fn entry_with_read_ahead(&self, vm: &str, bytes: usize) -> Entry {
        self.entry_with(vm, |cfg| cfg.read_ahead_bytes = bytes)
            .await
    }

    /// Starts an entry with the usual settings and a change of them.
    pub(crate) async fn entry_with(
        &self,
        vm: &str,
        change: impl FnOnce(&mut forwarding::Forwarding),
    ) -> Entry {
        self.entry_on(vm, sync::Arc::new(clock::BootClock), change)
            .await
    }

    /// Starts an entry that is suspended whenever `clock` is moved on.
    pub(crate) async fn entry_with_clock(
        &self,
        vm: &str,
        clock: &sync::Arc<SuspendableClock>,
    ) -> Entry {
        self.entry_on(vm, sync::Arc::clone(clock) as _, |_| ())
            .await
    }

    async fn entry_on(
        &self,
        vm: &str,
        clock: sync::Arc<dyn core_clock::Clock>,
        change: impl FnOnce(&mut forwarding::Forwarding),
    ) -> Entry {
        let ip = unique_ip();
        let address = |port: u16| net::SocketAddr::from((ip, port));
        let mut settings = forwarding::Forwarding {
            vm: vm.to_owned(),
            data_centre: "north".to_owned(),
            processor: 1.0,
            memory: None,
            max_descriptors: None,
            read_ahead_bytes: 0,
            front: address(8001),
            ready: address(8002),
            directory: address(8003),
            peers: address(8004),
            seeds: Vec::new(),
            platform: self.platform_address(),
            metrics: Some(address(8005)),
            server_heartbeat: None,
            log_level: settings::LogLevel::Critical,
            accounts: forwarding::Accounts::default(),
            bounds: bounds(),
            hedging: None,
            clients: forwarding::Clients::default(),
        };
        change(&mut settings);
        let platform = objects::Objects::open(&settings.platform.to_string(), TIMEOUT / 30);
        let metrics = metrics::Metrics::new().unwrap();
        let memory = memory::open(settings.memory).unwrap();
        let cx = cx::Cx::new(settings, clock, platform, memory, metrics);
        let cx = sync::Arc::new(cx);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let mut listeners = Vec::new();
        for (address, purpose) in [
            (cx.settings.front, listeners::Purpose::Traffic),
            (cx.settings.ready, listeners::Purpose::Discovery),
            (cx.settings.directory, listeners::Purpose::Discovery),
            (cx.settings.metrics.unwrap(), listeners::Purpose::Metrics),
        ] {
            let binding = listeners::bind(sync::Arc::clone(&cx), address, purpose);
            listeners.push(runtime.spawn(binding).await.unwrap().unwrap());
        }
        let peer_listener = service::listen_for_peers(cx.settings.peers).unwrap();
        runtime.spawn(service::run_control(sync::Arc::clone(&cx), peer_listener));
        Entry {
            cx,
            listeners,
            runtime: Some(runtime),
        }
    }

    /// Sends a request with the key of the only account.
    pub(crate) async fn send(
        &self,
        entry: &Entry,
        method: &str,
        path: &str,
        body: &str,
    ) -> ClientResponse {
        self.send_with(entry, method, path, body, &[("api-key", KEY)])
            .await
    }

    /// Sends a request with these headers.
    pub(crate) async fn send_with(
        &self,
        entry: &Entry,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> ClientResponse {
        let url = format!("http://{}{path}", entry.cx.settings.front);
        let mut req = http::Request::builder()
            .method(method)
            .uri(url)
            .header("host", HOST)
            .header("request-id", "r-1");
        if headers.iter().all(|(name, _)| *name != "deadline-ms") {
            req = req.header("deadline-ms", "20000");
        }
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Bytes::from(body.to_owned()).into()).unwrap();
        self.exchange(req).await
    }

    /// Sends a request with the key of the only account, and these headers instead of the usual
    /// ones.
    pub(crate) async fn send_as(
        &self,
        entry: &Entry,
        path: &str,
        headers: &[(&'static str, &str)],
    ) -> ClientResponse {
        let url = format!("http://{}{path}", entry.cx.settings.front);
        let req = http::Request::post(url).body(Bytes::new().into());
        let mut req = req.unwrap();
        let usual = [("host", HOST), ("api-key", KEY), ("deadline-ms", "20000")];
        for (name, value) in usual.iter().chain(headers) {
            req.headers_mut().insert(*name, value.parse().unwrap());
        }
        self.exchange(req).await
    }

    /// Sends a GET request for a path at an address.
    pub(crate) async fn read(&self, address: net::SocketAddr, path: &str) -> ClientResponse {
        let req = http::Request::get(format!("http://{address}{path}"));
        self.exchange(req.body(Bytes::new().into()).unwrap()).await
    }

    async fn exchange(&self, req: http::Request<http_body_util::Full<Bytes>>) -> ClientResponse {
        let res = self.client.request(req).await.unwrap();
        let (parts, mut body) = res.into_parts();
        let mut buf = Vec::new();
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => buf.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
        ClientResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8(buf).unwrap(),
            is_whole,
        }
    }
}
