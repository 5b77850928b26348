//! Paths of the object API and of the list of VMs.

use std::time;

use bytes::Bytes;
use serde::Deserialize;
use warp::{Filter, Reply, filters, http as warp_http, reply};

use crate::{
    http,
    platform::{MAX_VALUE_BYTES, call, name, object, routes, state, store, watch},
};

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    since: u64,
    patience_ms: u64,
}

/// Returns the paths outside `/admin`.
pub(super) fn all(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    get(state)
        .or(put(state))
        .unify()
        .or(delete(state))
        .unify()
        .or(list(state))
        .unify()
        .or(watch(state))
        .unify()
        .or(vms(state))
        .unify()
        .boxed()
}

fn get(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("objects" / String / String)
        .and(warp::get())
        .and(warp::header::headers_cloned())
        .then(move |kind: String, name: String, headers| {
            let state = state.clone();
            let call = call::Call::new(call::CallKind::Get, &headers);
            async move {
                slowed(&state, &call, || match check_names(&kind, &name) {
                    Ok(()) => shown(state.get(&kind, &name)),
                    Err(reason) => http::refusal(400, reason),
                })
                .await
            }
        })
        .boxed()
}

fn put(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("objects" / String / String)
        .and(warp::put())
        .and(warp::header("if-match"))
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_VALUE_BYTES as u64))
        .and(warp::body::bytes())
        .then(
            move |kind: String, name: String, expected, headers, value: Bytes| {
                let state = state.clone();
                let call = call::Call::new(call::CallKind::Put, &headers);
                http::detached(async move {
                    slowed(&state, &call, || match check_names(&kind, &name) {
                        Ok(()) => answered(state.put(&call.caller, &kind, &name, expected, value)),
                        Err(reason) => http::refusal(400, reason),
                    })
                    .await
                })
            },
        )
        .boxed()
}

fn delete(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("objects" / String / String)
        .and(warp::delete())
        .and(warp::header("if-match"))
        .and(warp::header::headers_cloned())
        .then(move |kind: String, name: String, expected, headers| {
            let state = state.clone();
            let call = call::Call::new(call::CallKind::Delete, &headers);
            http::detached(async move {
                slowed(&state, &call, || match check_names(&kind, &name) {
                    Ok(()) => answered(state.delete(&call.caller, &kind, &name, expected)),
                    Err(reason) => http::refusal(400, reason),
                })
                .await
            })
        })
        .boxed()
}

fn list(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("objects" / String)
        .and(warp::get())
        .and(warp::query::<ListQuery>())
        .and(warp::header::headers_cloned())
        .then(move |kind: String, query: ListQuery, headers| {
            let state = state.clone();
            let call = call::Call::new(call::CallKind::List, &headers);
            async move {
                slowed(&state, &call, || match name::check(&kind) {
                    Ok(()) => listed(&state.list(&kind, &query.prefix)),
                    Err(reason) => http::refusal(400, reason),
                })
                .await
            }
        })
        .boxed()
}

fn watch(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("watch" / String / String)
        .and(warp::get())
        .and(warp::query::<WatchQuery>())
        .and(warp::header::headers_cloned())
        .then(
            move |kind: String, name: String, query: WatchQuery, headers| {
                let state = state.clone();
                let call = call::Call::new(call::CallKind::Watch, &headers);
                async move {
                    let Some(delay) = state.begin(&call) else {
                        return routes::unavailable();
                    };
                    if let Err(reason) = check_names(&kind, &name) {
                        return http::refusal(400, reason);
                    }
                    tokio::time::sleep(delay * 2).await;
                    let patience = time::Duration::from_millis(query.patience_ms);
                    let watch = watch::Watch {
                        caller: call.caller,
                        kind,
                        name,
                        since: query.since,
                    };
                    watched(watch.wait(&state, patience).await)
                }
            },
        )
        .boxed()
}

fn vms(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("vms")
        .and(warp::get())
        .and(warp::header::headers_cloned())
        .then(move |headers| {
            let state = state.clone();
            let call = call::Call::new(call::CallKind::Vms, &headers);
            async move {
                slowed(&state, &call, || {
                    http::json(200, &serde_json::json!({ "vms": state.vms() }))
                })
                .await
            }
        })
        .boxed()
}

/// Counts a call, refuses it or lets it take effect half-way through its delay.
async fn slowed(
    state: &state::State,
    call: &call::Call,
    effect: impl FnOnce() -> reply::Response,
) -> reply::Response {
    let Some(delay) = state.begin(call) else {
        return routes::unavailable();
    };
    tokio::time::sleep(delay).await;
    let res = effect();
    tokio::time::sleep(delay).await;
    res
}

fn check_names(kind: &str, name: &str) -> Result<(), String> {
    name::check(kind)?;
    name::check(name)
}

fn shown(state: Option<object::State>) -> reply::Response {
    match state.and_then(|state| Some((state.version, state.value?))) {
        Some((version, value)) => routes::value(version, value),
        None => missing(),
    }
}

fn watched(outcome: watch::Outcome) -> reply::Response {
    match outcome {
        watch::Outcome::Newer(state) => shown(Some(state)),
        watch::Outcome::NothingNewer => warp_http::StatusCode::NO_CONTENT.into_response(),
        watch::Outcome::Refused => routes::unavailable(),
    }
}

fn listed(objects: &[state::Shown]) -> reply::Response {
    let objects: Vec<_> = objects
        .iter()
        .map(|object| {
            serde_json::json!({
                "name": object.name,
                "version": object.version,
                "value": hex::encode(&object.value),
            })
        })
        .collect();
    http::json(200, &serde_json::json!({ "objects": objects }))
}

fn answered(outcome: Result<state::Written, store::WriteError>) -> reply::Response {
    match outcome {
        Ok(written) => routes::written(written),
        Err(store::WriteError::Conflict(version)) => {
            http::json(409, &serde_json::json!({ "version": version }))
        }
        Err(store::WriteError::Missing) => missing(),
        Err(e @ store::WriteError::Full) => http::refusal(507, e.to_string()),
    }
}

fn missing() -> reply::Response {
    http::refusal(404, "no such object")
}
