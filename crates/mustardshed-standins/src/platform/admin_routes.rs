//! Administration API of the platform: faults, counts, writes and the list of VMs.

use warp::{Filter, filters, reply};

use crate::{
    http,
    platform::{faults_change, name, routes, vm},
};

/// Largest body of an administration call, in bytes.
const MAX_BODY_BYTES: u64 = 256 * 1_024;

/// Returns the paths below `/admin`.
pub(super) fn all(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    faults(state)
        .or(change_faults(state))
        .unify()
        .or(calls(state))
        .unify()
        .or(writes(state))
        .unify()
        .or(copy(state))
        .unify()
        .or(restore(state))
        .unify()
        .or(insert_vm(state))
        .unify()
        .or(remove_vm(state))
        .unify()
        .boxed()
}

fn faults(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "faults")
        .and(warp::get())
        .map(move || http::json(200, &state.faults()))
        .boxed()
}

fn change_faults(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "faults")
        .and(warp::put())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::json())
        .map(
            move |change: faults_change::FaultsChange| match state.change_faults(change) {
                Ok(()) => http::json(200, &state.faults()),
                Err(reason) => http::refusal(400, reason),
            },
        )
        .boxed()
}

fn calls(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "calls")
        .and(warp::get())
        .map(move || http::json(200, &state.calls()))
        .boxed()
}

fn writes(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "writes")
        .and(warp::get())
        .map(move || http::json(200, &state.writes()))
        .boxed()
}

fn copy(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "copy")
        .and(warp::post())
        .map(move || {
            state.copy();
            http::json(200, &state.era())
        })
        .boxed()
}

fn restore(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "restore")
        .and(warp::post())
        .map(move || {
            state.restore();
            http::json(200, &state.era())
        })
        .boxed()
}

fn insert_vm(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "vms" / String)
        .and(warp::put())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::json())
        .map(move |id: String, item: vm::Vm| {
            let checked = item.check(&id);
            match checked.and_then(|()| state.insert_vm(item)) {
                Ok(()) => http::json(200, &serde_json::json!({ "id": id })),
                Err(reason) => http::refusal(400, reason),
            }
        })
        .boxed()
}

fn remove_vm(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("admin" / "vms" / String)
        .and(warp::delete())
        .map(move |id: String| match name::check(&id) {
            Ok(()) if state.remove_vm(&id) => http::json(200, &serde_json::json!({ "id": id })),
            Ok(()) => http::refusal(404, "no such VM"),
            Err(reason) => http::refusal(400, reason),
        })
        .boxed()
}
