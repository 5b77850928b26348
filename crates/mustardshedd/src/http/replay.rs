//! Responses to a repeat of an earlier request.

use mustardshed::core::{error, outcome::Outcome, request::fate};
use warp::reply::Response;

use crate::{
    http::{output_format, reply},
    request::output,
};

/// Header that marks the response as that of an earlier request.
const REPLAYED: &str = "idempotent-replayed";

/// Builds the response to a repeat of an earlier request that holds or held the claim.
pub fn reply(earlier: &fate::Fate) -> Response {
    let mut response = match &earlier.stored_response {
        Some(answer) if earlier.outcome == Outcome::Completed => reply::stored(answer),
        _ => reply::error(&error(earlier)),
    };
    mark_replayed(&mut response);
    reply::with_request_id(response, &earlier.request)
}

/// Builds the streamed response to a repeat of an earlier completion.
pub fn stream(
    earlier: &fate::Fate,
    format: &output_format::OutputFormat,
    includes_usage: bool,
) -> Response {
    let Some(whole) = earlier.stored_response.as_ref().and_then(parse_output) else {
        return reply(earlier);
    };
    let mut buf = Vec::new();
    format.write_chunk(&mut buf, &whole.chunk, true);
    if includes_usage {
        format.write_usage(&mut buf, whole.tokens);
    }
    buf.extend_from_slice(b"data: [DONE]\n\n");
    let mut response = reply::bytes(http::StatusCode::OK, Some("text/event-stream"), buf.into());
    mark_replayed(&mut response);
    reply::with_request_id(response, &earlier.request)
}

/// Returns the error of a repeat, with the outcome of the earlier request.
fn error(earlier: &fate::Fate) -> error::Error {
    let (kind, message) = match (earlier.outcome, earlier.error) {
        (Outcome::Running, _) => (
            error::ErrorKind::KeyInProgress,
            "the first request with this key is still running",
        ),
        (Outcome::Unknown, _) => (
            error::ErrorKind::FateUnknown,
            "whether the first request with this key ran is not known",
        ),
        (Outcome::Completed, _) => (
            error::ErrorKind::FateUnknown,
            "the first request with this key completed; its response is no longer stored",
        ),
        (_, Some(kind)) => (
            kind,
            "the first request with this key ended with this error",
        ),
        (_, None) => (
            error::ErrorKind::BackendServerFailed,
            "the first request with this key ended early",
        ),
    };
    let mut err = error::Error::not_run(kind, message);
    err.outcome = earlier.outcome;
    err
}

fn mark_replayed(response: &mut Response) {
    response
        .headers_mut()
        .insert(REPLAYED, http::HeaderValue::from_static("true"));
}

struct StoredOutput {
    chunk: output::Chunk,
    tokens: u64,
}

#[derive(serde::Deserialize)]
struct StoredBody {
    choices: Vec<StoredChoice>,
    usage: KeptUsage,
}

#[derive(serde::Deserialize)]
struct StoredChoice {
    text: Option<String>,
    message: Option<StoredMessage>,
    finish_reason: Option<String>,
}

#[derive(serde::Deserialize)]
struct StoredMessage {
    content: String,
}

#[derive(serde::Deserialize)]
struct KeptUsage {
    completion_tokens: u64,
}

fn parse_output(response: &fate::StoredResponse) -> Option<StoredOutput> {
    let body: StoredBody = serde_json::from_slice(&response.body).ok()?;
    let choice = body.choices.into_iter().next()?;
    let text = choice.text.or(choice.message.map(|m| m.content))?;
    Some(StoredOutput {
        chunk: output::Chunk {
            text,
            finish: choice.finish_reason,
        },
        tokens: body.usage.completion_tokens,
    })
}
