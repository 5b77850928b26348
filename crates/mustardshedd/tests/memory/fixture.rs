//! Fixture of a platform, sound and other servers, and one entry.

use std::time;

use mustardshed_standins::{http as standin_http, json_client, platform as standin};
use serde_json::json;

use crate::{entry, server};

/// Host of all routes.
pub(crate) const HOST: &str = "shed.example";
/// Time after which requests end that get no whole answer.
const DEADLINE: time::Duration = time::Duration::from_secs(5);
/// Time in which large bodies arrive; far longer than a loaded machine needs.
const LARGE_DEADLINE: time::Duration = time::Duration::from_secs(60);
/// Memory of the VM, in megabytes: the smallest that entries run on.
pub(crate) const MEMORY_MB: u64 = 160;
/// The same, in bytes.
pub(crate) const MEMORY_BYTES: u64 = MEMORY_MB * 1_000_000;

/// A platform, servers and an entry.
pub(crate) struct Fixture {
    pub(crate) entry: entry::Entry,
    /// Servers of the service `other`.
    pub(crate) others: Vec<server::Server>,
    _platform: standin_http::Server,
}

impl Fixture {
    /// Starts an entry, one sound server and `count` others that answer with `answer`.
    pub(crate) async fn open(count: usize, answer: server::Answer) -> Self {
        Self::open_limited(count, answer, MEMORY_MB, None).await
    }

    /// Does the same with an entry on a VM with `memory_mb` megabytes, whose descriptors may be
    /// limited.
    pub(crate) async fn open_limited(
        count: usize,
        answer: server::Answer,
        memory_mb: u64,
        descriptors: Option<u64>,
    ) -> Self {
        Self::open_with(count, answer, |settings| {
            entry::Entry::spawn(&entry::Settings {
                memory_mb: Some(memory_mb),
                descriptors,
                ..*settings
            })
        })
        .await
    }

    /// Does the same with an entry that `spawn` starts.
    pub(crate) async fn open_with(
        count: usize,
        answer: server::Answer,
        spawn: impl FnOnce(&entry::Settings<'_>) -> entry::Entry,
    ) -> Self {
        let platform = standin::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
        configure(&platform).await;
        let sound = server::Server::bind("sound", server::Answer::Whole(800)).await;
        list(&platform, &sound, "sound").await;
        let mut others = Vec::new();
        for number in 0..count {
            let other = server::Server::bind(&format!("other-{number}"), answer).await;
            list(&platform, &other, "other").await;
            others.push(other);
        }
        let entry = spawn(&entry::Settings {
            index: 0,
            ip: entry::unique_ip(),
            data_centre: "north",
            platform: platform.url().trim_start_matches("http://"),
            grace: DEADLINE,
            read_ahead_bytes: 1024 * 1024,
            memory_mb: None,
            descriptors: None,
        });
        Self {
            entry: entry.ready().await,
            others,
            _platform: platform,
        }
    }

    /// Returns the number of requests that the other servers received.
    pub(crate) fn requests_of_others(&self) -> usize {
        self.others.iter().map(server::Server::requests).sum()
    }
}

/// Writes a configuration with the routes `/sound/`, `/other/`, `/events/` and `/large/`.
async fn configure(platform: &standin_http::Server) {
    let route = |name: &str, service: &str, kind: &str, deadline: time::Duration| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "route_type": kind,
            "timeout_ms": deadline.as_millis(), "target_latency_ms": 300, "gap_aim_ms": 200,
            "service": service, "max_attempts": 1, "public": true,
        })
    };
    let config = json!({
        "version": 1,
        "routes": [
            route("sound", "sound", "non_idempotent", LARGE_DEADLINE),
            route("other", "other", "non_idempotent", DEADLINE),
            route("events", "other", "streaming", DEADLINE),
            route("large", "other", "non_idempotent", LARGE_DEADLINE),
        ],
        "services": [{ "name": "sound" }, { "name": "other" }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
    });
    write(platform, "config", "main", config).await;
}

async fn list(platform: &standin_http::Server, server: &server::Server, service: &str) {
    let spec = json!({
        "service": service, "address": server.address.to_string(), "zone": "north",
        "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1,
    });
    write(platform, "servers", &server.id, spec).await;
}

async fn write(platform: &standin_http::Server, kind: &str, name: &str, spec: serde_json::Value) {
    let body = json!({ "metadata": { "name": name }, "spec": spec });
    let url = format!("{}/api/objects/{kind}", platform.url());
    let created = json_client::JsonClient::open().post(&url, &body).await;
    assert_eq!(created.unwrap().status, 200);
}
