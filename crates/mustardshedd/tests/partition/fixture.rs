//! Fixture of a platform, servers, and entries with a path of their own to each server.

use std::{net, time};

use mustardshed_standins::{http as standin_http, json_client, platform as standin};
use serde_json::json;

use crate::{
    client, entry, oracle,
    path::{self, State},
    server, view,
};

/// Host of all routes.
pub(crate) const HOST: &str = "shed.example";
/// Key of the only account.
pub(crate) const KEY: &str = "key-1";
/// Time between the order to stop and the kill.
const GRACE: time::Duration = time::Duration::from_secs(5);
/// Time that a server takes for a call.
const SERVICE_TIME: time::Duration = time::Duration::from_millis(30);
/// Deadline of calls.
const DEADLINE: time::Duration = time::Duration::from_secs(2);
/// Deadline of streams: one that goes silent for as long as clients tolerate has time to resume.
const STREAM_DEADLINE: time::Duration = time::Duration::from_secs(4);
/// Requests per second that a cold server bears from all entries.
pub(crate) const COLD_PER_S: f64 = 20.0;
/// A call to the first entry that may be repeated.
pub(crate) const CALL: client::Plan = client::Plan {
    entry: 0,
    kind: client::Kind::Again,
    has_body: false,
    deadline: DEADLINE,
    read_pause: None,
};
/// First start of all servers, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_788_000_000_000;
/// Their second start.
const SECOND_START_MS: u64 = FIRST_START_MS + 60_000;
/// Number of servers.
const SERVERS: usize = 6;

/// What the platform says of a server.
#[derive(Clone, Copy, Debug)]
struct Registration {
    version: &'static str,
    cold_for: time::Duration,
    start_ms: u64,
}

impl Registration {
    const FIRST: Self = Self {
        version: "v1",
        cold_for: time::Duration::ZERO,
        start_ms: FIRST_START_MS,
    };
}

/// A platform with servers and entries.
pub(crate) struct Fixture {
    pub(crate) servers: Vec<server::Server>,
    pub(crate) entries: Vec<entry::Entry>,
    /// Paths by entry and server.
    paths: Vec<Vec<path::Path>>,
    data_centres: Vec<String>,
    views: Vec<view::View>,
    platform: standin_http::Server,
}

impl Fixture {
    /// Starts servers, and an entry in each of `data_centres`.
    pub(crate) async fn open(data_centres: &[&str]) -> Self {
        let platform = standin::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            let server = server::Server::bind(&format!("b{number}"), SERVICE_TIME).await;
            write_server(&platform, &server, Registration::FIRST).await;
            servers.push(server);
        }
        configure(&platform, 1, 0.0).await;
        let mut f = Self {
            servers,
            entries: Vec::new(),
            paths: Vec::new(),
            data_centres: data_centres.iter().map(ToString::to_string).collect(),
            views: Vec::new(),
            platform,
        };
        for index in 0..data_centres.len() {
            f.add_entry(index).await;
        }
        f.ready().await
    }

    async fn add_entry(&mut self, index: usize) {
        let ip = entry::unique_ip();
        let paths = self.servers.iter().map(|server| server.address);
        let paths: Vec<path::Path> = paths.map(|server| path::Path::open(ip, server)).collect();
        let addresses = self.servers.iter().zip(&paths);
        let addresses = addresses.map(|(server, path)| (server.address, path.address));
        let platform = self.platform.url();
        let platform = platform.trim_start_matches("http://");
        let view = view::View::open(platform, addresses.collect()).await;
        self.paths.push(paths);
        self.views.push(view);
        let entry = self.spawn(index, ip);
        self.entries.push(entry);
    }

    fn spawn(&self, index: usize, ip: net::Ipv4Addr) -> entry::Entry {
        entry::Entry::spawn(&entry::Settings {
            index,
            ip,
            data_centre: &self.data_centres[index],
            platform: &self.views[index].address.to_string(),
            grace: GRACE,
            memory_mb: None,
            descriptors: None,
        })
    }

    async fn ready(mut self) -> Self {
        let entries = std::mem::take(&mut self.entries);
        for entry in entries {
            self.entries.push(entry.ready().await);
        }
        // Until each entry has heard of the others.
        tokio::time::sleep(time::Duration::from_secs(1)).await;
        let renewed = Registration {
            version: "v2",
            ..Registration::FIRST
        };
        self.touch_servers(renewed).await;
        self
    }

    /// Writes all servers anew, so that each entry reads them through its own view: until then it may
    /// have the addresses of another one's paths from a peer that had read a later revision.
    async fn touch_servers(&self, registration: Registration) {
        for server in &self.servers {
            write_server(&self.platform, server, registration).await;
        }
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }

    /// Makes all servers cold for a minute.
    pub(crate) async fn chill_servers(&self) {
        configure(&self.platform, 2, COLD_PER_S).await;
        let cold = Registration {
            version: "cold",
            cold_for: time::Duration::from_secs(60),
            ..Registration::FIRST
        };
        self.touch_servers(cold).await;
    }

    /// Registers all servers as started anew.
    pub(crate) async fn restart_servers(&self) {
        let second = Registration {
            start_ms: SECOND_START_MS,
            ..Registration::FIRST
        };
        self.touch_servers(second).await;
    }

    /// Returns the addresses of the entries.
    pub(crate) fn ips(&self) -> Vec<net::Ipv4Addr> {
        self.entries.iter().map(|entry| entry.ip).collect()
    }

    /// Sets the paths of an entry to all servers.
    pub(crate) fn set_paths(&self, entry: usize, state: State) {
        for path in &self.paths[entry] {
            path.set(state);
        }
    }

    /// Cuts paths, given by entry and server, at the same moment: an attempt that is ended by this
    /// is not followed by another one on a path that is cut a little later.
    pub(crate) async fn cut(
        &self,
        paths: impl Clone + IntoIterator<Item = (usize, usize)>,
        state: State,
    ) {
        let all = || {
            let paths = paths.clone().into_iter();
            paths.map(|(entry, server)| &self.paths[entry][server])
        };
        for path in all() {
            path.set(State::Hangs);
        }
        for path in all() {
            path.wait_for(State::Hangs).await;
        }
        for path in all() {
            path.set(state);
        }
    }

    /// Cuts the first `entries` entries off from all servers at the same moment.
    pub(crate) async fn cut_off(&self, entries: usize, state: State) {
        let paths = (0..entries).flat_map(|entry| (0..SERVERS).map(move |server| (entry, server)));
        self.cut(paths, state).await;
    }

    /// Sets the path of an entry to one server.
    pub(crate) fn set_path(&self, entry: usize, server: usize, state: State) {
        self.paths[entry][server].set(state);
    }

    /// Starts load on all entries alike, with all kinds of requests.
    pub(crate) fn load(&self, clients: u64) -> client::Load {
        let entries = u64::try_from(self.entries.len()).unwrap();
        let plan = move |client: u64, request: u64| {
            let kind = usize::try_from((client / entries + request) % 4).unwrap();
            let kind = client::Kind::ALL[kind];
            let is_stream = kind == client::Kind::Stream;
            client::Plan {
                entry: usize::try_from(client % entries).unwrap(),
                kind,
                has_body: request.is_multiple_of(3),
                deadline: if is_stream { STREAM_DEADLINE } else { DEADLINE },
                ..CALL
            }
        };
        client::Load::start(clients, &self.ips(), plan)
    }

    /// Checks what became of all requests.
    pub(crate) fn check(&self, sent: &[client::Sent], stops: &[entry::Stop]) -> oracle::Report {
        let mut report = oracle::check(sent, &self.servers, stops);
        report.add_logs(&self.entries);
        report
    }
}

async fn write_server(
    platform: &standin_http::Server,
    server: &server::Server,
    registration: Registration,
) {
    let Registration {
        version,
        cold_for,
        start_ms,
    } = registration;
    let spec = json!({
        "service": "runners", "address": server.address.to_string(), "zone": "north",
        "version": version, "slots": 64, "state": "ready", "seq": 1, "born": start_ms,
        "cold_left_ms": u64::try_from(cold_for.as_millis()).unwrap(),
    });
    write(platform, "servers", &server.id, spec).await;
}

async fn configure(platform: &standin_http::Server, version: u64, cold_per_s: f64) {
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
        "services": [{
            "name": "runners", "max_connections": 100,
            "cold_start_s": 0.0, "cold_per_s": cold_per_s,
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [{ "name": "chapel", "api_keys": [KEY] }],
    });
    write(platform, "config", "main", config).await;
}

async fn write(platform: &standin_http::Server, kind: &str, name: &str, spec: serde_json::Value) {
    let http = json_client::JsonClient::open();
    let body = json!({ "metadata": { "name": name }, "spec": spec });
    let url = format!("{}/api/objects/{kind}", platform.url());
    let created = http.post(&url, &body).await.unwrap();
    if created.status == 409 {
        let written = http.put(&format!("{url}/{name}"), &body).await.unwrap();
        assert_eq!(written.status, 200);
    }
}
