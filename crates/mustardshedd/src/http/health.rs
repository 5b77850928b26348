//! `/healthz` and `/readyz`.

use std::{collections, time};

use mustardshed::core::{error, process::snapshot, request::admission};
use warp::reply::Response;

use crate::http::{cx, reply};

/// Time after its start in which an entry is not ready until every listed server has reported, so
/// that its first work does not all go to the first one that reports; a few polls of a steward.
const STARTUP_GRACE: time::Duration = time::Duration::from_secs(2);

/// Answers `/healthz`: the process is alive.
pub fn live() -> Response {
    reply::bytes(http::StatusCode::OK, Some("text/plain"), "ok\n".into())
}

/// Answers `/readyz`: whether new work would be accepted.
pub fn ready(cx: &cx::Cx) -> Response {
    let snapshot = cx.requests.control.snapshot();
    let now = cx.requests.clock.now();
    if cx.requests.is_leaving() {
        return reply::error(&error::Error::not_run(
            error::ErrorKind::Leaving,
            "this entry is leaving",
        ));
    }
    if let Err(err) = admission::check_fresh(&snapshot, now) {
        return reply::error(&err);
    }
    let is_new = now.saturating_sub(cx.opened_at) < STARTUP_GRACE;
    let is_unread = snapshot.servers.is_empty();
    let has_unreported =
        has_unreported_kind(&snapshot) || (is_new && has_unreported_server(&snapshot));
    if is_unread || has_unreported {
        return reply::error(&error::Error::not_run(
            error::ErrorKind::NoBackendServer,
            "the backend servers are not known yet, or have not reported",
        ));
    }
    live()
}

/// Returns whether there is a kind of backend server none of which has reported yet.
fn has_unreported_kind(snapshot: &snapshot::Snapshot) -> bool {
    let mut kinds: collections::BTreeMap<&str, bool> = collections::BTreeMap::new();
    for server in snapshot.servers.values() {
        *kinds.entry(&server.kind).or_default() |= !server.reported_at.is_zero();
    }
    kinds.values().any(|has_reported| !has_reported)
}

/// Returns whether there is a backend server that has not reported yet.
fn has_unreported_server(snapshot: &snapshot::Snapshot) -> bool {
    let mut servers = snapshot.servers.values();
    servers.any(|server| server.reported_at.is_zero())
}
