//! Failures of calls, classified by whether the call may have run.

use std::{fmt, time};

use http_body_util::BodyExt;
use hyper::body;
use hyper_util::client::legacy;
use mustardshed::core::boundary::backend_server::BackendServerError;
use serde::Deserialize;

/// Greatest length of a refusal's body, in bytes.
const MAX_REFUSAL_BYTES: usize = 4 << 10;
/// Longest wait for the body of a refusal.
const REFUSAL_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Statuses by which an engine reports that nothing ran.
const REFUSALS: [http::StatusCode; 5] = [
    http::StatusCode::TOO_MANY_REQUESTS,
    http::StatusCode::NOT_FOUND,
    http::StatusCode::CONFLICT,
    http::StatusCode::SERVICE_UNAVAILABLE,
    http::StatusCode::PRECONDITION_FAILED,
];

/// Returns the failure of a request that can't be built, so that nothing was sent.
pub(super) fn not_sent(e: impl fmt::Display) -> BackendServerError {
    BackendServerError::Unreachable(e.to_string())
}

/// Returns the failure of a call whose response is missing, truncated or invalid.
pub(super) fn broken(e: impl fmt::Display) -> BackendServerError {
    BackendServerError::Broken(e.to_string())
}

/// Returns the failure of a call for which nothing was received within `timeout`.
pub(super) fn timed_out(timeout: time::Duration) -> BackendServerError {
    BackendServerError::Broken(format!("nothing received for {timeout:?}"))
}

/// Returns the failure that an error of the HTTP client means.
///
/// Without a connection nothing was sent; after any other error the call may have run.
pub(super) fn from_client(e: &legacy::Error) -> BackendServerError {
    let reason = with_source(e);
    if e.is_connect() {
        BackendServerError::Unreachable(reason)
    } else {
        BackendServerError::Broken(reason)
    }
}

/// Returns the failure that a response with a status other than 200 means.
pub(super) async fn from_response(resp: http::Response<body::Incoming>) -> BackendServerError {
    let status = resp.status();
    if !REFUSALS.contains(&status) {
        return BackendServerError::Broken(format!("unexpected status {status}"));
    }
    let reason = refusal_reason(resp.into_body()).await;
    let reason = reason.unwrap_or_else(|| status.to_string());
    BackendServerError::Refused(reason)
}

#[derive(Deserialize)]
struct Refusal {
    error: String,
}

async fn refusal_reason(body: body::Incoming) -> Option<String> {
    let limited = http_body_util::Limited::new(body, MAX_REFUSAL_BYTES);
    let collected = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, limited.collect());
    let bytes = collected.await.ok()?.ok()?.to_bytes();
    let refusal: Refusal = serde_json::from_slice(&bytes).ok()?;
    Some(refusal.error)
}

fn with_source(e: &legacy::Error) -> String {
    match std::error::Error::source(e) {
        Some(source) => format!("{e}: {source}"),
        None => e.to_string(),
    }
}
