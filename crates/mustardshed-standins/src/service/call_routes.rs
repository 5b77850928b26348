//! Paths of a plain service for entries: the load report, and calls on any other path.

use bytes::Bytes;
use warp::{Filter, filters, http as warp_http, reply};

use crate::{
    http,
    service::{call, refusal, routes, state},
};

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1_024 * 1_024;
/// Path whose calls are executed and then get a server error.
const FAILING_PATH: &str = "/fail";

/// Returns the paths outside `/admin`.
pub(super) fn all(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    load(state).or(any_path(state)).unify().boxed()
}

fn load(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::path!("v1" / "load")
        .and(warp::get())
        .map(move || {
            if state.is_dead() {
                return http::cut();
            }
            match state.load() {
                Some(report) => http::json(200, &report),
                None => refused(refusal::Refusal::FellOver),
            }
        })
        .boxed()
}

fn any_path(state: &routes::Shared) -> filters::BoxedFilter<(reply::Response,)> {
    let state = state.clone();
    warp::method()
        .and(warp::path::full())
        .and(warp::header::optional("x-request-id"))
        .and(http::body(MAX_BODY_BYTES))
        .then(
            move |method: warp_http::Method,
                  path: filters::path::FullPath,
                  request_id: Option<String>,
                  body| {
                let call = call::Call {
                    request_id: request_id.unwrap_or_default(),
                    method: method.to_string(),
                    path: path.as_str().to_owned(),
                    body,
                };
                let state = state.clone();
                http::detached(async move { executed(&state, &call).await })
            },
        )
        .boxed()
}

async fn executed(state: &state::State, call: &call::Call) -> reply::Response {
    state.wait_one_way(call).await;
    let res = match state.execute(call).await {
        Ok(Some(execution)) => answered(state, call, execution),
        Ok(None) => http::cut(),
        Err(refusal) => refused(refusal),
    };
    state.wait_one_way(call).await;
    res
}

fn answered(state: &state::State, call: &call::Call, execution: u64) -> reply::Response {
    let status = if call.path == FAILING_PATH { 500 } else { 200 };
    let body = serde_json::json!({
        "service": state.name(),
        "execution": execution,
        "path": call.path,
        "echo": echo(&call.body),
    });
    http::json(status, &body)
}

/// Returns the body as JSON, or as text if it isn't JSON.
fn echo(body: &Bytes) -> serde_json::Value {
    serde_json::from_slice(body)
        .unwrap_or_else(|_| String::from_utf8_lossy(body).into_owned().into())
}

fn refused(refusal: refusal::Refusal) -> reply::Response {
    match refusal.status() {
        Some(status) => http::refusal(status, refusal.to_string()),
        None => http::cut(),
    }
}
