//! Paths of the platform.

use std::sync;

use warp::{Filter, reply};

use crate::{
    http,
    platform::{admin_routes, object_routes, state},
};

/// State shared by the routes.
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

/// Responds during an outage, or to a caller that is cut off.
pub(super) fn unavailable() -> reply::Response {
    http::refusal(
        503,
        "the platform is unavailable; the call did not take effect",
    )
}
