//! `/healthz` and `/readyz`.

use std::{collections, time};

use mustardshed::core::{error, process::snapshot, request::admission};
use warp::reply::Response;

use crate::http::{cx, reply};

/// Time after its start for which an entry waits to hear of every listed server, so that its first
/// work is not all given to the first one that reports: some of the polls of a steward.
const REPORTS_WITHIN: time::Duration = time::Duration::from_secs(2);

/// Answers `/healthz`: the process lives.
pub fn live() -> Response {
    reply::bytes(http::StatusCode::OK, Some("text/plain"), "ok\n".into())
}

/// Answers `/readyz`: new work would be taken.
pub fn ready(cx: &cx::Cx) -> Response {
    let snapshot = cx.requests.control.snapshot();
    let now = cx.requests.clock.now();
    if cx.requests.is_draining() || snapshot.leaving {
        return reply::error(&error::Error::not_run(
            error::ErrorKind::Leaving,
            "this entry is leaving",
        ));
    }
    if let Err(err) = admission::check_fresh(&snapshot, now) {
        return reply::error(&err);
    }
    let is_new = now.saturating_sub(cx.opened_at) < REPORTS_WITHIN;
    if has_silent_kind(&snapshot) || (is_new && has_silent_server(&snapshot)) {
        return reply::error(&error::Error::not_run(
            error::ErrorKind::NoBackendServer,
            "nothing was heard yet of some backend servers",
        ));
    }
    live()
}

/// Returns whether there is a kind of backend server of none of which anything was heard yet.
fn has_silent_kind(snapshot: &snapshot::Snapshot) -> bool {
    let mut kinds: collections::BTreeMap<&str, bool> = collections::BTreeMap::new();
    for server in snapshot.servers.values() {
        *kinds.entry(&server.kind).or_default() |= !server.reported_at.is_zero();
    }
    kinds.values().any(|is_heard| !is_heard)
}

/// Returns whether there is a backend server of which nothing was heard yet.
fn has_silent_server(snapshot: &snapshot::Snapshot) -> bool {
    let mut servers = snapshot.servers.values();
    servers.any(|server| server.reported_at.is_zero())
}
