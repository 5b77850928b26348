//! `/healthz` and `/readyz`.

use mustardshed::core::{error, request::admission};
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
    if !snapshot.servers.is_empty() && snapshot.servers.values().all(|server| !server.reachable) {
        return reply::error(&error::Error::not_run(
            error::ErrorKind::NoBackendServer,
            "no backend server has reported its load",
        ));
    }
    live()
}
