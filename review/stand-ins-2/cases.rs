//! The cases.

use crate::fleet::Record;

mod booking;
mod pairs;
mod streams;
mod zones;

/// Plays a case; returns whether the rule was broken, and none if the case could not run.
pub fn play(name: &str, record: &Record, has_trouble: bool) -> Option<bool> {
    match name {
        "pairs" => pairs::play(record, has_trouble),
        "zones" => zones::play(record, has_trouble),
        "streams" => streams::play(record, has_trouble),
        "booking" => booking::play(record, has_trouble),
        _ => None,
    }
}

/// Returns a configuration with a model service, an application and routes to them. The route `/open/`,
/// which needs no key, leads to `open_service`.
fn configuration(version: u64, open_service: &str) -> String {
    let route = |path: &str, kind: &str, timeout: u32, aim: u32, service: &str, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"r-{path}\",\"host\":\"shed.example\",\"path_prefix\":\"/{path}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":{}{more}}}",
            path == "open"
        )
    };
    let routes = [
        route("draft", "streaming", 15_000, 3_000, "model", 2, ",\"resumable\":true,\"sticky\":true,\"gap_aim_ms\":800"),
        route("note", "streaming", 10_000, 300, "model", 2, ",\"resumable\":true,\"sticky\":true,\"gap_aim_ms\":200"),
        route("book", "non_idempotent", 1_000, 100, "desk", 1, ""),
        route("look", "idempotent", 1_000, 100, "desk", 2, ""),
        route("open", "idempotent", 1_000, 100, open_service, 2, ""),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"model\",\"health_path\":\"/healthz\",\
         \"max_connections\":344,\"engine\":{{\"slots\":16,\"kv_capacity_tokens\":450000,\"stride\":46,\"step_ms\":0.925,\
         \"per_seq_ms\":0.00483,\"context_per_k\":0.00254,\"read_per_s\":256000,\"pairs_per_m\":0.0917,\"chunk\":2048,\
         \"usual\":{{\"prompt\":18000,\"answer\":1500}}}}}},{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_connections\":49}},{{\"name\":\"annex\",\"health_path\":\"/healthz\",\"max_connections\":49}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"marina\",\
         \"api_keys\":[\"key-1\"]}}]}}",
        routes.join(",")
    )
}

/// Returns the head of a client's request, without the empty line.
fn head(method: &str, path: &str, id: &str, deadline_ms: u32, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shed.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Api-Key: key-1\r\nConnection: close\r\n{more}"
    )
}
