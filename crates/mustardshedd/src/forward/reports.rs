//! Polls the engines for their slowdown.
//!
//! Each engine is polled by one entry, the live entry with the highest preference for it, which
//! tells the others. While entries disagree on which ones are alive, an engine may be polled twice.

use std::{collections, sync, time};

use bytes::Bytes;
use mustardshed::{
    core::ids,
    platform::{headers, orders},
    wire::forward,
};

use crate::{
    forward::{cx, dial, invalid_response, upstream},
    log::{self, event},
};

/// Interval between polls of an engine; reports are some hundred milliseconds old anyway.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a report.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Smallest change of an engine's slowdown that is applied and sent to the peers.
const MIN_SLOWDOWN_CHANGE: f64 = 0.05;

/// Polls this entry's engines, for as long as the process runs.
pub async fn poll_all(cx: sync::Arc<cx::Cx>) {
    let mut reported: collections::HashMap<ids::BackendServerId, f64> = collections::HashMap::new();
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let polled = cx.engines_to_poll();
        reported.retain(|server, _| polled.iter().any(|(id, _)| id == server));
        let reading = polled.iter().map(|(id, address)| read(&cx, id, address));
        for (id, slowdown) in futures_util::future::join_all(reading)
            .await
            .into_iter()
            .flatten()
        {
            record_slowdown(&cx, &mut reported, id, slowdown);
        }
    }
}

fn record_slowdown(
    cx: &cx::Cx,
    reported: &mut collections::HashMap<ids::BackendServerId, f64>,
    server: ids::BackendServerId,
    slowdown: f64,
) {
    let before = reported.get(&server).copied().unwrap_or(1.0);
    if (slowdown - before).abs() < MIN_SLOWDOWN_CHANGE {
        return;
    }
    log::emit(&event::Event::PaceChanged {
        server: &server,
        pace: slowdown,
        before,
    });
    cx.state().loads.health_mut(&server).set_slowdown(slowdown);
    cx.peers.send(&forward::Message::Slowdown {
        server: server.clone(),
        slowdown,
    });
    reported.insert(server, slowdown);
}

/// Reads one engine's report and returns its slowdown; none if there is no valid report in time.
async fn read(
    cx: &sync::Arc<cx::Cx>,
    id: &str,
    address: &str,
) -> Option<(ids::BackendServerId, f64)> {
    let reading = tokio::time::timeout(REPORT_TIMEOUT, fetch_report(cx, id, address)).await;
    match reading.unwrap_or_else(|_| Err("no report in time".to_owned())) {
        Ok(report) => Some((id.to_owned(), report.pace.max(1.0))),
        Err(reason) => {
            // Not counted as unreachable: only requests decide that.
            cx.metrics.attempt("no_report");
            log::emit(&event::Event::ReportFailed {
                server: id,
                reason: &reason,
            });
            None
        }
    }
}

async fn fetch_report(
    cx: &sync::Arc<cx::Cx>,
    id: &str,
    address: &str,
) -> Result<orders::Report, String> {
    let req = http::Request::builder()
        .uri(orders::REPORT_PATH)
        .header(http::header::HOST, address)
        .body(upstream::RequestBody::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let connection = dial::connect(cx, id, address).await;
    let sent = connection.map_err(|e| e.to_string())?.send(req).await;
    let sent = sent.inspect_err(|e| invalid_response::record(cx, id, "report", e));
    let (response, connection_task) = sent.map_err(|e| e.to_string())?;
    let head = headers::response(response.status(), response.headers());
    cx.observe_response(id, &head);
    if !response.status().is_success() {
        return Err(response.status().to_string());
    }
    connection_task.limit_body(MAX_REPORT_BYTES);
    let body = response.into_body();
    let body = upstream::read_whole(body, MAX_REPORT_BYTES, &cx.memory).await?;
    orders::decode_report(&body).map_err(|e| e.to_string())
}
