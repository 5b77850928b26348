//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::{sync, time};

use bytes::Bytes;
use http::header;
use mustardshed::{
    config::text,
    core::{error, ids, process::snapshot},
};
use sha2::Digest;
use tokio::sync::mpsc;
use warp::{Reply, reply::Response};

use crate::{
    http::{auth, body, cx, generate_request, headers, output_format, replay, reply, sse},
    request::{admit, completion, full_output, output, refused, resolve},
};

/// Answers a completion request.
pub async fn handle(
    api: generate_request::Api,
    cx: sync::Arc<cx::Cx>,
    request_headers: http::HeaderMap,
    body: body::Body,
) -> Response {
    match serve(api, &cx, &request_headers, body).await {
        Ok(response) => response,
        Err(refused) => refusal(&refused),
    }
}

/// Builds the response to a refused request.
pub fn refusal(refused: &refused::Refused) -> Response {
    let response = reply::error(&refused.error);
    match &refused.id {
        Some(id) => reply::with_request_id(response, id),
        None => response,
    }
}

async fn serve(
    api: generate_request::Api,
    cx: &sync::Arc<cx::Cx>,
    request_headers: &http::HeaderMap,
    mut body: body::Body,
) -> Result<Response, refused::Refused> {
    let snapshot = cx.requests.control.snapshot();
    let account = match auth::client_account(&snapshot, request_headers) {
        Ok(account) => account,
        Err(err) => {
            body::discard(&mut body, cx.limits.max_body_bytes).await;
            return Err(err.into());
        }
    };
    let buf = body::read_unless_draining(cx, body, request_headers).await?;
    let identity = identity(api, request_headers, &buf)?;
    let req = generate_request::GenerateRequest::parse(api, &buf)?;
    drop(buf);
    let deadline = headers::deadline(request_headers)?;
    let started = start(api, cx, &snapshot, account, req, deadline, identity)?;
    Ok(started.respond().await)
}

fn identity(
    api: generate_request::Api,
    request_headers: &http::HeaderMap,
    body: &Bytes,
) -> Result<admit::Idempotency, error::Error> {
    let Some(key) = headers::idempotency_key(request_headers)? else {
        return Ok(admit::Idempotency::default());
    };
    let path = match api {
        generate_request::Api::Completions => "/v1/completions",
        generate_request::Api::Chat => "/v1/chat/completions",
    };
    Ok(admit::Idempotency {
        key: Some(key),
        body_digest: digest("POST", path, body),
    })
}

/// Returns the digest that tells a repeat from another request with the same key.
pub fn digest(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut sha = sha2::Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        sha.update((part.len() as u64).to_le_bytes());
        sha.update(part);
    }
    sha.finalize().into()
}

/// A completion that is run by its driver.
struct Started {
    id: ids::RequestId,
    format: output_format::OutputFormat,
    rx: mpsc::Receiver<output::Output>,
    is_streamed: bool,
    includes_usage: bool,
}

fn start(
    api: generate_request::Api,
    cx: &sync::Arc<cx::Cx>,
    snapshot: &snapshot::Snapshot,
    account: &text::ClientAccount,
    req: generate_request::GenerateRequest,
    deadline: Option<time::Duration>,
    identity: admit::Idempotency,
) -> Result<Started, refused::Refused> {
    let resolved = resolve::model(&snapshot.text, account, &req.model)?;
    let prompt_tokens = req.prompt.tokens(resolved.model.bytes_per_token);
    let model = req.model.clone();
    let request = admit::PromptRequest {
        model: req.model,
        prompt_format: req.prompt.form(),
        prompt: req.prompt.into_bytes(),
        max_tokens: req.max_tokens,
        deadline,
        idempotency: identity,
    };
    let (completion, guards) = admit::prompt(
        &cx.requests,
        snapshot,
        account,
        &resolved,
        request,
        prompt_tokens,
    )?;
    let id = completion.job.id.clone();
    let format = output_format::OutputFormat::new(api, id.clone(), model, prompt_tokens);
    let response_format = sync::Arc::new(format.clone());
    let rx = completion::spawn(&cx.requests, completion, response_format, guards);
    Ok(Started {
        id,
        format,
        rx,
        is_streamed: req.is_streamed,
        includes_usage: req.includes_usage,
    })
}

impl Started {
    /// Waits for the first output, which decides the status, and builds the response.
    async fn respond(mut self) -> Response {
        let id = self.id.clone();
        let response = match self.rx.recv().await {
            None => reply::error(&lost()),
            Some(output::Output::Failed(err)) => reply::error(&err),
            Some(output::Output::Duplicate(fate)) if self.is_streamed => {
                return replay::stream(&fate, &self.format, self.includes_usage);
            }
            Some(output::Output::Duplicate(fate)) => return replay::reply(&fate),
            Some(first) if self.is_streamed => self.stream(first),
            Some(first) => self.whole(first).await,
        };
        reply::with_request_id(response, &id)
    }

    fn stream(self, first: output::Output) -> Response {
        let body = sse::SseBody::new(self.format, first, self.rx, self.includes_usage);
        let mut response = warp::reply::stream(body).into_response();
        let response_headers = response.headers_mut();
        response_headers.insert(
            header::CONTENT_TYPE,
            http::HeaderValue::from_static("text/event-stream"),
        );
        response_headers.insert(
            header::CACHE_CONTROL,
            http::HeaderValue::from_static("no-cache"),
        );
        response
    }

    async fn whole(mut self, first: output::Output) -> Response {
        let mut whole = full_output::FullOutput::default();
        let mut next = Some(first);
        while let Some(output) = next {
            match output {
                output::Output::Chunk(chunk) => {
                    whole.text.push_str(&chunk.text);
                    whole.tokens += 1;
                    if let Some(finish) = chunk.finish {
                        whole.finish = finish;
                        let body = self.format.whole(&whole);
                        return reply::bytes(http::StatusCode::OK, Some(reply::JSON), body);
                    }
                }
                output::Output::Failed(err) => return reply::error(&err),
                output::Output::Duplicate(_) => {}
            }
            next = self.rx.recv().await;
        }
        reply::error(&lost())
    }
}

fn lost() -> error::Error {
    error::Error::unknown(
        error::ErrorKind::Internal,
        "the request's driver ended without a response",
    )
}
