//! The fate of a request, queried by its account or by operators.

use mustardshed::core::{error, outcome::Outcome, request::fate};
use warp::reply::Response;

use crate::http::{auth, cx, message, reply};

/// Answers `GET /v1/requests/{id}`; another account's request is not found.
pub async fn handle(cx: &cx::Cx, headers: &http::HeaderMap, id: String) -> Response {
    let snapshot = cx.requests.control.snapshot();
    let account = match auth::client_account(&snapshot, headers) {
        Ok(account) => account,
        Err(err) => return unknown(err),
    };
    match cx.requests.control.fate(&id).await {
        Ok(fate) if fate.account == account.name => found(&fate),
        Ok(_) => unknown(not_found()),
        Err(err) => unknown(err),
    }
}

/// Answers `GET /operator/requests/{id}`.
pub async fn handle_operator(cx: &cx::Cx, id: String) -> Response {
    match cx.requests.control.fate(&id).await {
        Ok(fate) => found(&fate),
        Err(err) => unknown(err),
    }
}

/// Builds the response for an unknown fate; it never says that the request did not run.
fn unknown(mut err: error::Error) -> Response {
    err.outcome = Outcome::Unknown;
    reply::error(&err)
}

fn found(fate: &fate::Fate) -> Response {
    let body = message::FateResponse {
        id: fate.request.clone(),
        outcome: fate.outcome.as_str(),
        error: fate.error.map(|kind| kind.to_response().code),
        servers: fate.servers.clone(),
        answer: fate
            .stored_response
            .as_ref()
            .map(|answer| message::StoredBody {
                status: answer.status,
                content_type: answer.content_type.clone(),
                body: String::from_utf8_lossy(&answer.body).into_owned(),
            }),
    };
    let response = reply::json(http::StatusCode::OK, &body);
    reply::with_request_id(response, &fate.request)
}

fn not_found() -> error::Error {
    error::Error::not_run(
        error::ErrorKind::UnknownRequest,
        "no request of this client account has this identifier",
    )
}
