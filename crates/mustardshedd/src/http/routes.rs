//! The routes of the listener as one `warp` filter.

use std::{convert, sync};

use mustardshed::core::error;
use warp::{Filter, Rejection, filters::BoxedFilter, reject, reply::Response};

use crate::http::{
    body, cx, entries, explain, generate, generate_request, health, models, operator_routes, reply,
    requests, services,
};

/// Returns the filter that handles every request.
///
/// While the entry leaves, each response ends its connection, so that few connections are left on
/// which a request could be sent just as the entry closes them.
pub fn routes(cx: sync::Arc<cx::Cx>) -> BoxedFilter<(Response,)> {
    let answering = sync::Arc::clone(&cx);
    let cx = warp::any().map(move || sync::Arc::clone(&cx)).boxed();
    prompts(&cx)
        .or(plain(&cx))
        .unify()
        .or(lists(&cx))
        .unify()
        .or(operators(&cx))
        .unify()
        .recover(recover)
        .unify()
        .map(move |response| match answering.requests.is_leaving() {
            true => reply::closing(response),
            false => response,
        })
        .boxed()
}

type Shared = BoxedFilter<(sync::Arc<cx::Cx>,)>;

fn prompts(cx: &Shared) -> BoxedFilter<(Response,)> {
    let completions = warp::path!("v1" / "completions")
        .and(warp::post())
        .map(|| generate_request::Api::Completions);
    let chat = warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .map(|| generate_request::Api::Chat);
    completions
        .or(chat)
        .unify()
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .and(body::stream())
        .then(generate::handle)
        .boxed()
}

fn plain(cx: &Shared) -> BoxedFilter<(Response,)> {
    let query = warp::query::raw().or_else(|_| async { Ok::<_, Rejection>((String::new(),)) });
    warp::path("services")
        .and(cx.clone())
        .and(warp::method())
        .and(warp::path::tail())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(body::stream())
        .then(
            |cx, method, tail: warp::path::Tail, query, headers, body| async move {
                let incoming = services::IncomingCall {
                    method,
                    tail: tail.as_str().to_owned(),
                    query,
                    headers,
                };
                services::handle(cx, incoming, body).await
            },
        )
        .boxed()
}

fn lists(cx: &Shared) -> BoxedFilter<(Response,)> {
    let models = warp::path!("v1" / "models")
        .and(warp::get())
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .map(|cx: sync::Arc<cx::Cx>, headers| models::list(&cx, &headers));
    let model = warp::path!("v1" / "models" / String)
        .and(warp::get())
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .map(|name: String, cx: sync::Arc<cx::Cx>, headers| models::one(&cx, &headers, &name));
    let request = warp::path!("v1" / "requests" / String)
        .and(warp::get())
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .then(|id, cx: sync::Arc<cx::Cx>, headers| async move {
            requests::handle(&cx, &headers, id).await
        });
    let entries = warp::path!("v1" / "entries")
        .and(warp::get())
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .and(warp::query::<entries::Query>())
        .map(|cx: sync::Arc<cx::Cx>, headers, query| entries::handle(&cx, &headers, &query));
    let live = warp::path!("healthz").and(warp::get()).map(health::live);
    let ready = warp::path!("readyz")
        .and(warp::get())
        .and(cx.clone())
        .map(|cx: sync::Arc<cx::Cx>| health::ready(&cx));
    models
        .or(model)
        .unify()
        .or(request)
        .unify()
        .or(entries)
        .unify()
        .or(live)
        .unify()
        .or(ready)
        .unify()
        .boxed()
}

fn operators(cx: &Shared) -> BoxedFilter<(Response,)> {
    let status = warp::path!("operator" / "status")
        .and(warp::get())
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .map(|cx: sync::Arc<cx::Cx>, headers| operator_routes::status(&cx, &headers));
    let explain = warp::path!("operator" / "explain")
        .and(warp::get())
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .and(warp::query::<explain::Query>())
        .map(|cx: sync::Arc<cx::Cx>, headers, query| {
            operator_routes::explain(&cx, &headers, &query)
        });
    let request = warp::path!("operator" / "requests" / String)
        .and(warp::get())
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .then(|id, cx: sync::Arc<cx::Cx>, headers| async move {
            operator_routes::request(&cx, &headers, id).await
        });
    let intent = warp::path!("operator" / "intent")
        .and(warp::post())
        .map(|| operator_routes::Step::Intent);
    let commit = warp::path!("operator" / "commit")
        .and(warp::post())
        .map(|| operator_routes::Step::Commit);
    let write = intent
        .or(commit)
        .unify()
        .and(cx.clone())
        .and(warp::header::headers_cloned())
        .and(body::stream())
        .then(operator_routes::write);
    status
        .or(explain)
        .unify()
        .or(request)
        .unify()
        .or(write)
        .unify()
        .boxed()
}

/// Responds to a request that no route matched.
async fn recover(rejection: Rejection) -> Result<Response, convert::Infallible> {
    let (kind, message) = if rejection.find::<reject::MethodNotAllowed>().is_some() {
        (
            error::ErrorKind::MethodNotAllowed,
            "this path does not support the method",
        )
    } else if rejection.find::<reject::InvalidQuery>().is_some() {
        (error::ErrorKind::InvalidRequest, "the query is not valid")
    } else if rejection.is_not_found() {
        (error::ErrorKind::NotFound, "no such path")
    } else {
        (error::ErrorKind::InvalidRequest, "the request is not valid")
    };
    Ok(reply::error(&error::Error::not_run(kind, message)))
}
