//! Builds HTTP responses.

use std::time;

use http::header;
use mustardshed::core::{error, ids, outcome, request::fate};
use warp::{Reply, reply};

use crate::http::message;

/// Header with the identifier of the request.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the outcome of a call whose response is the service's own.
pub const OUTCOME: &str = "x-outcome";
/// Content type of JSON.
pub const JSON: &str = "application/json";

/// Builds a response from a status and a JSON value.
pub fn json<T: serde::Serialize>(status: http::StatusCode, value: &T) -> reply::Response {
    match serde_json::to_vec(value) {
        Ok(buf) => bytes(status, Some(JSON), buf.into()),
        Err(_) => http::StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Builds a response from a status and a body.
pub fn bytes(
    status: http::StatusCode,
    content_type: Option<&str>,
    body: bytes::Bytes,
) -> reply::Response {
    let mut response = reply::Response::new(body.into());
    *response.status_mut() = status;
    if let Some(value) = content_type.and_then(|text| text.parse().ok()) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// Adds the header with the identifier of the request.
#[must_use]
pub fn with_request_id(mut response: reply::Response, id: &ids::RequestId) -> reply::Response {
    if let Ok(value) = http::HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// Adds the header with the outcome, for a response whose body is the service's own.
#[must_use]
pub fn with_outcome(mut response: reply::Response, outcome: outcome::Outcome) -> reply::Response {
    let value = http::HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(OUTCOME, value);
    response
}

/// Ends the connection with this response.
#[must_use]
pub fn closing(mut response: reply::Response) -> reply::Response {
    let value = http::HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, value);
    response
}

/// Builds the response for an error.
pub fn error(err: &error::Error) -> reply::Response {
    let status = http::StatusCode::from_u16(err.kind.to_response().status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &error_response(err));
    if let Some(delay) = err.retry_after {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, whole_seconds(delay).into());
    }
    response
}

/// Builds the body of the response for an error.
pub fn error_response(err: &error::Error) -> message::ErrorResponse {
    let answer = err.kind.to_response();
    message::ErrorResponse {
        error: message::ErrorBody {
            message: format!("{}: {}", err.kind, err.message),
            class: answer.class,
            param: None,
            code: answer.code,
        },
        outcome: err.outcome.as_str(),
        retry_after_ms: err.retry_after.map(millis),
    }
}

/// Builds the response that was stored for an earlier request.
pub fn stored(answer: &fate::StoredResponse) -> reply::Response {
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    bytes(status, answer.content_type.as_deref(), answer.body.clone())
}

/// Returns a duration in whole milliseconds.
pub fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn whole_seconds(duration: time::Duration) -> u64 {
    millis(duration).div_ceil(1000)
}
