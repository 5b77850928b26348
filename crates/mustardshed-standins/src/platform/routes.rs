//! Paths of the platform.

use std::sync;

use warp::{Filter, Reply, reply};

use crate::{
    http,
    platform::{admin_routes, object_routes, state},
};

/// State as the routes share it.
pub(super) type Shared = sync::Arc<state::State>;

/// Returns every path of the platform.
pub fn all(state: Shared) -> http::Routes {
    object_routes::all(&state)
        .or(admin_routes::all(&state))
        .unify()
        .recover(http::recover)
        .unify()
        .boxed()
}

/// Answers with the version that a write gave its object, or loses the answer.
pub(super) fn written(written: state::Written) -> reply::Response {
    if written.answer_lost {
        return http::cut();
    }
    http::json(200, &serde_json::json!({ "version": written.version }))
}

/// Answers with an object's value and version.
pub(super) fn value(version: u64, value: bytes::Bytes) -> reply::Response {
    let body = warp::http::Response::new(value);
    reply::with_header(body, "x-version", version).into_response()
}

/// Answers a call in an outage, or one of a caller that is cut.
pub(super) fn unavailable() -> reply::Response {
    http::refusal(
        503,
        "the platform is unavailable; the call did not take effect",
    )
}
