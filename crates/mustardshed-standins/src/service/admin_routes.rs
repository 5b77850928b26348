//! Administration API of a plain service: faults, records and counts.

use warp::{Filter, filters, reply};

use crate::{
    http,
    service::{faults_change, routes},
};

/// Largest body of an administration call, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1_024;

/// Returns the paths below `/admin`.
pub(super) fn all(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    faults(state)
        .or(change_faults(state))
        .unify()
        .or(records(state))
        .unify()
        .or(counts(state))
        .unify()
        .recover(http::recover)
        .unify()
        .boxed()
}

fn faults(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("faults")
        .and(warp::get())
        .map(move || http::json(200, &state.faults()))
        .boxed()
}

fn change_faults(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("faults")
        .and(warp::put())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::json())
        .map(
            move |change: faults_change::FaultsChange| match state.change_faults(&change) {
                Ok(()) => http::json(200, &state.faults()),
                Err(reason) => http::refusal(400, reason),
            },
        )
        .boxed()
}

fn records(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("records")
        .and(warp::get())
        .map(move || http::json(200, &state.executions()))
        .boxed()
}

fn counts(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("counts")
        .and(warp::get())
        .map(move || http::json(200, &state.counts()))
        .boxed()
}
