//! Fixture of a platform and backend servers, to which entries are started.

use std::{net, time};

use mustardshed_standins::{http as standin_http, json_client, platform as standin};
use serde_json::json;

use crate::{client, entry, oracle, server};

/// Host of all routes.
pub(crate) const HOST: &str = "shed.example";
/// Key of the only account.
pub(crate) const KEY: &str = "key-1";
/// Time between the order to stop and the kill.
pub(crate) const GRACE: time::Duration = time::Duration::from_secs(5);

/// A platform with servers.
pub(crate) struct Fixture {
    pub(crate) servers: Vec<server::Server>,
    platform: standin_http::Server,
    http: json_client::JsonClient,
}

impl Fixture {
    /// Starts a platform and two servers.
    pub(crate) async fn open(service_time: time::Duration) -> Self {
        let servers = vec![
            server::Server::bind("b1", service_time).await,
            server::Server::bind("b2", service_time).await,
        ];
        let f = Self {
            servers,
            platform: standin::bind("127.0.0.1:0".parse().unwrap()).await.unwrap(),
            http: json_client::JsonClient::open(),
        };
        f.configure(1).await;
        for server in &f.servers {
            let spec = json!({
                "service": "runners", "address": server.address.to_string(), "zone": "north",
                "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1,
            });
            f.write("servers", &server.id, spec).await;
        }
        f
    }

    /// Writes a configuration with the routes `/once/`, `/again/`, `/stream/` and `/open/`.
    pub(crate) async fn configure(&self, version: u64) {
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
                "max_header_bytes": 16_384, "max_body_bytes": 1_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
            "tenants": [{ "name": "chapel", "api_keys": [KEY] }],
        });
        self.write("config", "main", config).await;
    }

    /// Lists an entry of another writer that is not understood, under this name, as the last one of a
    /// page that the two servers follow.
    pub(crate) async fn list_odd(&self, name: &str) {
        /// Objects in a page of the stand-in.
        const PAGE_ITEMS: usize = 500;
        let odd = json!({ "state": 7 });
        for i in 1..PAGE_ITEMS {
            self.write("servers", &format!("!{i:03}"), odd.clone())
                .await;
        }
        self.write("servers", name, odd).await;
    }

    async fn write(&self, kind: &str, name: &str, spec: serde_json::Value) {
        let body = json!({ "metadata": { "name": name }, "spec": spec });
        let kind_url = format!("{}/api/objects/{kind}", self.platform.url());
        let created = self.http.post(&kind_url, &body).await.unwrap();
        if created.status == 409 {
            let url = format!("{kind_url}/{name}");
            assert_eq!(self.http.put(&url, &body).await.unwrap().status, 200);
        }
    }

    /// Starts an entry; it may not be ready yet.
    pub(crate) fn spawn(&self, index: usize, ip: net::Ipv4Addr) -> entry::Entry {
        let platform = self.platform.url();
        entry::Entry::spawn(&entry::Settings {
            index,
            ip,
            data_centre: "north",
            platform: platform.trim_start_matches("http://"),
            grace: GRACE,
            memory_mb: None,
            read_ahead_bytes: 0,
            descriptors: None,
        })
    }

    /// Starts an entry and waits until it takes requests.
    pub(crate) async fn entry(&self) -> entry::Entry {
        self.spawn(0, entry::unique_ip()).ready().await
    }

    /// Checks what became of all requests.
    pub(crate) fn check(&self, sent: &[client::Sent], stops: &[entry::Stop]) -> oracle::Report {
        oracle::check(sent, &self.servers, stops)
    }
}
