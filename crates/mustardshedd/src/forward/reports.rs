//! Reads how fast the engines are.
//!
//! Each engine is asked by one entry, the one that prefers it most among those that live, which
//! tells the others; an engine that an entry asks while another one does, too, is asked twice.

use std::{collections, sync, time};

use bytes::Bytes;
use mustardshed::{
    core::ids,
    platform::{headers, orders},
    wire::forward,
};

use crate::{
    forward::{cx, upstream},
    log::{self, event},
};

/// Wait between looks at an engine; reports are some hundred milliseconds old anyway.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Longest wait for a report.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Largest report, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// Change of the pace that is told to the peers.
const TOLD_CHANGE: f64 = 0.05;

/// Reads the reports of this entry's engines, for as long as the process runs.
pub async fn read_all(cx: sync::Arc<cx::Cx>) {
    let mut told: collections::HashMap<ids::BackendServerId, f64> = collections::HashMap::new();
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let asked = cx.engines_to_ask();
        told.retain(|server, _| asked.iter().any(|(id, _)| id == server));
        let reading = asked.iter().map(|(id, address)| read(&cx, id, address));
        for (id, pace) in futures_util::future::join_all(reading)
            .await
            .into_iter()
            .flatten()
        {
            take(&cx, &mut told, id, pace);
        }
    }
}

fn take(
    cx: &cx::Cx,
    told: &mut collections::HashMap<ids::BackendServerId, f64>,
    server: ids::BackendServerId,
    pace: f64,
) {
    let before = told.get(&server).copied().unwrap_or(1.0);
    if (pace - before).abs() < TOLD_CHANGE {
        return;
    }
    log::emit(&event::Event::PaceChanged {
        server: &server,
        pace,
        before,
    });
    cx.state().ledger.health_mut(&server).set_slowdown(pace);
    cx.peers.send(&forward::Message::Pace {
        server: server.clone(),
        pace,
    });
    told.insert(server, pace);
}

/// Reads one report; what cannot be read changes nothing.
async fn read(cx: &cx::Cx, id: &str, address: &str) -> Option<(ids::BackendServerId, f64)> {
    let reading = tokio::time::timeout(REPORT_TIMEOUT, report(cx, id, address)).await;
    match reading.unwrap_or_else(|_| Err("no report in time".to_owned())) {
        Ok(report) => Some((id.to_owned(), report.pace.max(1.0))),
        Err(reason) => {
            // Requests find out by themselves whether the engine is reachable.
            cx.metrics.attempt("no_report");
            log::emit(&event::Event::ReportFailed {
                server: id,
                reason: &reason,
            });
            None
        }
    }
}

async fn report(cx: &cx::Cx, id: &str, address: &str) -> Result<orders::Report, String> {
    let req = http::Request::builder()
        .uri(orders::REPORT_PATH)
        .header(http::header::HOST, address)
        .body(upstream::Whole::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let connection = upstream::Connection::open(address).await;
    let sent = connection.map_err(|e| e.to_string())?.send(req).await;
    let (answer, _driver) = sent.map_err(|e| e.to_string())?;
    let head = headers::answer(answer.status(), answer.headers());
    cx.answered_by(id, &head);
    if !answer.status().is_success() {
        return Err(answer.status().to_string());
    }
    let body = upstream::read_whole(answer.into_body(), MAX_REPORT_BYTES).await?;
    orders::report(&body).map_err(|e| e.to_string())
}
