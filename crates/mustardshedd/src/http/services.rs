//! `/services/{name}/...`: calls of plain services.

use std::sync;

use http::header;
use mustardshed::core::{error, ids, outcome::Outcome};
use warp::reply::Response;

use crate::{
    http::{auth, body, cx, generate, headers, replay, reply},
    request::{admit, call, call::repeatability, refused},
};

/// A call as received.
#[derive(Debug)]
pub struct IncomingCall {
    /// HTTP method.
    pub method: http::Method,
    /// Path after `/services/`.
    pub tail: String,
    /// Query, empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: http::HeaderMap,
}

/// Answers a call of a plain service.
pub async fn handle(cx: sync::Arc<cx::Cx>, incoming: IncomingCall, body: body::Body) -> Response {
    match serve(&cx, incoming, body).await {
        Ok(response) => response,
        Err(refused) => generate::refusal(&refused),
    }
}

async fn serve(
    cx: &sync::Arc<cx::Cx>,
    incoming: IncomingCall,
    mut body: body::Body,
) -> Result<Response, refused::Refused> {
    let snapshot = cx.requests.control.snapshot();
    let account = match auth::client_account(&snapshot, &incoming.headers) {
        Ok(account) => account,
        Err(err) => {
            body::discard(&mut body, cx.limits.max_body_bytes).await;
            return Err(err.into());
        }
    };
    let buf = body::read_unless_draining(cx, body, &incoming.headers).await?;
    let request = call_request(incoming, buf)?;
    let (call, guards) = admit::call(&cx.requests, &snapshot, account, request)?;
    let id = call.job.id.clone();
    let ended = call::spawn(&cx.requests, call, guards).await;
    Ok(answer(ended.ok(), &id))
}

fn call_request(
    incoming: IncomingCall,
    buf: bytes::Bytes,
) -> Result<admit::CallRequest, error::Error> {
    check_method(&incoming.method)?;
    let (service, rest) = match incoming.tail.split_once('/') {
        Some((service, rest)) => (service, rest),
        None => (incoming.tail.as_str(), ""),
    };
    let mut path = format!("/{rest}");
    if !repeatability::is_plain_path(&path) {
        return Err(error::Error::not_run(
            error::ErrorKind::InvalidRequest,
            "the path has empty, \".\" or \"..\" segments",
        ));
    }
    if !incoming.query.is_empty() {
        path.push('?');
        path.push_str(&incoming.query);
    }
    let method = incoming.method.as_str().to_owned();
    let digested = format!("/services/{service}{path}");
    let identity = admit::Idempotency {
        key: headers::idempotency_key(&incoming.headers)?,
        body_digest: generate::digest(&method, &digested, &buf),
    };
    Ok(admit::CallRequest {
        service: service.to_owned(),
        method,
        path,
        content_type: content_type(&incoming.headers),
        body: buf,
        deadline: headers::deadline(&incoming.headers)?,
        idempotency: identity,
    })
}

fn check_method(method: &http::Method) -> Result<(), error::Error> {
    let is_served = matches!(
        *method,
        http::Method::DELETE
            | http::Method::GET
            | http::Method::HEAD
            | http::Method::OPTIONS
            | http::Method::PATCH
            | http::Method::POST
            | http::Method::PUT
    );
    if is_served {
        return Ok(());
    }
    Err(error::Error::not_run(
        error::ErrorKind::MethodNotAllowed,
        "this method is not forwarded to services",
    ))
}

fn content_type(request_headers: &http::HeaderMap) -> Option<String> {
    let value = request_headers.get(header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

fn answer(ended: Option<call::Ended>, id: &ids::RequestId) -> Response {
    let response = match ended {
        Some(call::Ended::Answered(answer)) => reply::stored(&answer),
        Some(call::Ended::Declined(answer)) => {
            reply::with_outcome(reply::stored(&answer), Outcome::Unknown)
        }
        Some(call::Ended::Duplicate(fate)) => return replay::reply(&fate),
        Some(call::Ended::Failed(err)) => reply::error(&err),
        None => reply::error(&error::Error::unknown(
            error::ErrorKind::Internal,
            "the request's driver ended without a response",
        )),
    };
    reply::with_request_id(response, id)
}
