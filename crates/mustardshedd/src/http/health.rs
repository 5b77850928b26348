//! `/healthz` and `/readyz`.

use std::collections;

use mustardshed::core::{error, process::snapshot, request::admission};
use warp::reply::Response;

use crate::http::{cx, reply};

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
    if has_silent_kind(&snapshot) {
        return reply::error(&error::Error::not_run(
            error::ErrorKind::NoBackendServer,
            "nothing was heard yet of the backend servers of one kind",
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
