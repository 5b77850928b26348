//! Operators' calls.

use std::sync;

use bytes::Bytes;
use mustardshed::{
    core::{error, version::record},
    wire::configuration,
};
use warp::reply::Response;

use crate::http::{auth, body, cx, explain, reply, requests, status};

/// Maximum length of a configuration record, in bytes.
const MAX_RECORD_BYTES: usize = 2 * 1024 * 1024;

/// Step of writing a configuration that a call reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The configuration is about to be written.
    Intent,
    /// The configuration was written.
    Commit,
}

/// Answers `GET /operator/status`.
pub fn status(cx: &cx::Cx, headers: &http::HeaderMap) -> Response {
    match auth::operator(&*cx.operator, headers) {
        Ok(()) => reply::json(http::StatusCode::OK, &status::status(cx)),
        Err(err) => reply::error(&err),
    }
}

/// Answers `GET /operator/explain`.
pub fn explain(cx: &cx::Cx, headers: &http::HeaderMap, query: &explain::Query) -> Response {
    let explained =
        auth::operator(&*cx.operator, headers).and_then(|()| explain::explain(cx, query));
    match explained {
        Ok(response) => reply::json(http::StatusCode::OK, &response),
        Err(err) => reply::error(&err),
    }
}

/// Answers `GET /operator/requests/{id}`.
pub async fn request(cx: &cx::Cx, headers: &http::HeaderMap, id: String) -> Response {
    match auth::operator(&*cx.operator, headers) {
        Ok(()) => requests::handle_operator(cx, id).await,
        Err(err) => reply::error(&err),
    }
}

/// Answers `POST /operator/intent` and `POST /operator/commit`.
pub async fn write(
    step: Step,
    cx: sync::Arc<cx::Cx>,
    headers: http::HeaderMap,
    body: body::Body,
) -> Response {
    match try_write(step, &cx, &headers, body).await {
        Ok(buf) => reply::bytes(http::StatusCode::OK, Some(reply::JSON), buf),
        Err(err) => reply::error(&err),
    }
}

async fn try_write(
    step: Step,
    cx: &cx::Cx,
    headers: &http::HeaderMap,
    mut body: body::Body,
) -> Result<Bytes, error::Error> {
    if let Err(err) = auth::operator(&*cx.operator, headers) {
        body::discard(&mut body, MAX_RECORD_BYTES).await;
        return Err(err);
    }
    let buf = body::read(&mut body, headers, MAX_RECORD_BYTES, cx.limits.idle_timeout).await?;
    let record = record(&buf)?;
    let response = match step {
        Step::Intent => cx.operator.intent(record).await?,
        Step::Commit => cx.operator.commit(record).await?,
    };
    Ok(response.into())
}

fn record(buf: &[u8]) -> Result<record::Record, error::Error> {
    configuration::decode(buf)
        .map_err(|err| error::Error::not_run(error::ErrorKind::InvalidRequest, err.to_string()))
}
