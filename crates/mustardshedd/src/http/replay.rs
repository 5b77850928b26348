//! What a repeat of an earlier request is told.

use mustardshed::core::{error, outcome::Outcome, request::fate};
use warp::reply::Response;

use crate::{
    http::{form, reply},
    request::output,
};

/// Header that marks the answer of an earlier request.
const REPLAYED: &str = "idempotent-replayed";

/// Makes the answer to a repeat of an earlier request that holds or held the claim.
pub fn reply(earlier: &fate::Fate) -> Response {
    let mut response = match &earlier.stored_response {
        Some(answer) if earlier.outcome == Outcome::Completed => reply::kept(answer),
        _ => reply::error(&error(earlier)),
    };
    mark(&mut response);
    reply::with_request_id(response, &earlier.request)
}

/// Makes the streamed answer to a repeat of an earlier completion.
pub fn stream(earlier: &fate::Fate, form: &form::Form, includes_usage: bool) -> Response {
    let Some(whole) = earlier.stored_response.as_ref().and_then(read_whole) else {
        return reply(earlier);
    };
    let mut buf = Vec::new();
    form.write_piece(&mut buf, &whole.piece, true);
    if includes_usage {
        form.write_usage(&mut buf, whole.tokens);
    }
    buf.extend_from_slice(b"data: [DONE]\n\n");
    let mut response = reply::bytes(http::StatusCode::OK, Some("text/event-stream"), buf.into());
    mark(&mut response);
    reply::with_request_id(response, &earlier.request)
}

/// Returns the error that a repeat ends with, whose outcome is the earlier request's.
fn error(earlier: &fate::Fate) -> error::Error {
    let (kind, message) = match (earlier.outcome, earlier.error) {
        (Outcome::Running, _) => (
            error::ErrorKind::KeyInProgress,
            "the first request with this key is still running",
        ),
        (Outcome::Unknown, _) => (
            error::ErrorKind::FateUnknown,
            "whether the first request with this key ran cannot be told",
        ),
        (Outcome::Completed, _) => (
            error::ErrorKind::FateUnknown,
            "the first request with this key completed; its answer is no longer kept",
        ),
        (_, Some(kind)) => (kind, "the first request with this key ended so"),
        (_, None) => (
            error::ErrorKind::BackendServerFailed,
            "the first request with this key ended early",
        ),
    };
    let mut err = error::Error::not_run(kind, message);
    err.outcome = earlier.outcome;
    err
}

fn mark(response: &mut Response) {
    response
        .headers_mut()
        .insert(REPLAYED, http::HeaderValue::from_static("true"));
}

struct KeptWhole {
    piece: output::Piece,
    tokens: u64,
}

#[derive(serde::Deserialize)]
struct KeptBody {
    choices: Vec<KeptChoice>,
    usage: KeptUsage,
}

#[derive(serde::Deserialize)]
struct KeptChoice {
    text: Option<String>,
    message: Option<KeptMessage>,
    finish_reason: Option<String>,
}

#[derive(serde::Deserialize)]
struct KeptMessage {
    content: String,
}

#[derive(serde::Deserialize)]
struct KeptUsage {
    completion_tokens: u64,
}

fn read_whole(answer: &fate::StoredResponse) -> Option<KeptWhole> {
    let body: KeptBody = serde_json::from_slice(&answer.body).ok()?;
    let choice = body.choices.into_iter().next()?;
    let text = choice.text.or(choice.message.map(|m| m.content))?;
    Some(KeptWhole {
        piece: output::Piece {
            text,
            finish: choice.finish_reason,
        },
        tokens: body.usage.completion_tokens,
    })
}
