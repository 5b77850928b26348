//! The fate of a request, asked for by its account or by operators.

use mustardshed::core::{error, outcome::Outcome, request::fate};
use warp::reply::Response;

use crate::http::{auth, cx, message, reply};

/// Answers `GET /v1/requests/{id}`; another account's request is not found.
pub async fn handle(cx: &cx::Cx, headers: &http::HeaderMap, id: String) -> Response {
    let snapshot = cx.requests.control.snapshot();
    let account = match auth::client_account(&snapshot, headers) {
        Ok(account) => account,
        Err(err) => return untold(err),
    };
    match cx.requests.control.fate(&id).await {
        Ok(fate) if fate.account == account.name => answer(&fate),
        Ok(_) => untold(not_found()),
        Err(err) => untold(err),
    }
}

/// Answers `GET /operator/requests/{id}`.
pub async fn handle_operator(cx: &cx::Cx, id: String) -> Response {
    match cx.requests.control.fate(&id).await {
        Ok(fate) => answer(&fate),
        Err(err) => untold(err),
    }
}

/// Makes the answer for a fate that cannot be told; it never says that the request did not run.
fn untold(mut err: error::Error) -> Response {
    err.outcome = Outcome::Unknown;
    reply::error(&err)
}

fn answer(fate: &fate::Fate) -> Response {
    let body = message::FateAnswer {
        id: fate.request.clone(),
        outcome: fate.outcome.as_str(),
        error: fate.error.map(|kind| kind.to_response().code),
        servers: fate.servers.clone(),
        answer: fate
            .stored_response
            .as_ref()
            .map(|answer| message::KeptBody {
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
