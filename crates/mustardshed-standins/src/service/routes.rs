//! Paths of a plain service.

use std::sync;

use warp::{Filter, reply};

use crate::{
    http,
    service::{admin_routes, call_routes, state},
};

/// State shared by the routes.
pub(super) type Shared = sync::Arc<state::State>;

/// Returns every path of a plain service.
pub(super) fn all(state: &Shared) -> http::Routes {
    let admin = admin_routes::all(state);
    let stamping = Shared::clone(state);
    warp::path("admin")
        .and(admin)
        .or(call_routes::all(state))
        .unify()
        .recover(http::recover)
        .unify()
        .map(move |res| stamped(&stamping, res))
        .boxed()
}

/// Adds the number of the warm period to a response.
fn stamped(state: &state::State, mut res: reply::Response) -> reply::Response {
    let epoch = warp::http::HeaderValue::from(state.epoch());
    res.headers_mut().insert("x-epoch", epoch);
    res
}
