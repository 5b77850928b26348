//! Admission of prompts and calls: checks a caller's request and prepares it for its driver.

use std::{sync, time};

use bytes::Bytes;
use mustardshed::{
    config::text,
    core::{
        boundary::{backend_server, control},
        error, ids,
        process::snapshot,
        request::{admission, gang},
    },
};

use crate::request::{call, call::repeatability, completion, cx, job, refused, resolve};

/// Idempotency key and body digest of a request that runs at most once.
#[derive(Clone, Debug, Default)]
pub struct Idempotency {
    /// Key that the caller chose, if any.
    pub key: Option<String>,
    /// Digest of method, path and body.
    pub body_digest: [u8; 32],
}

/// Prompt as a caller sent it.
#[derive(Clone, Debug)]
pub struct PromptRequest {
    /// Name of a model, or of a service that is backed by one.
    pub model: String,
    /// Bytes of the prompt.
    pub prompt: Bytes,
    /// Encoding of the prompt's bytes.
    pub prompt_format: backend_server::PromptFormat,
    /// Greatest output length, in tokens.
    pub max_tokens: ids::Tokens,
    /// Deadline that the caller set, counted from arrival.
    pub deadline: Option<time::Duration>,
    /// Idempotency key and digest.
    pub idempotency: Idempotency,
}

/// Call of a plain service as a caller sent it.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Service to call.
    pub service: ids::ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query, relative to the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Deadline that the caller set, counted from arrival.
    pub deadline: Option<time::Duration>,
    /// Idempotency key and digest.
    pub idempotency: Idempotency,
}

/// Admits a prompt that is `prompt_tokens` long.
///
/// # Errors
///
/// Returns why the prompt is refused; nothing has run then.
pub fn prompt(
    cx: &sync::Arc<cx::Cx>,
    snapshot: &snapshot::Snapshot,
    account: &text::ClientAccount,
    resolved: &resolve::Resolved<'_>,
    req: PromptRequest,
    prompt_tokens: ids::Tokens,
) -> Result<(completion::Completion, completion::Guards), refused::Refused> {
    check_length(resolved, prompt_tokens, req.max_tokens)?;
    let policy = resolved.policy();
    let job = make_job(cx, account, &policy, req.deadline, req.idempotency)?;
    let guards = admit(cx, snapshot, account, resolved.service, &job)?;
    let completion = completion::Completion {
        job,
        model: resolved.model.name.clone(),
        prompt: req.prompt,
        prompt_format: req.prompt_format,
        prompt_tokens,
        max_tokens: req.max_tokens,
    };
    Ok((completion, guards))
}

/// Admits a call of a plain service.
///
/// A call that must not be repeated and has no idempotency key gets a random one, so that it is
/// claimed and runs at most once.
///
/// # Errors
///
/// Returns why the call is refused; nothing has run then.
pub fn call(
    cx: &sync::Arc<cx::Cx>,
    snapshot: &snapshot::Snapshot,
    account: &text::ClientAccount,
    req: CallRequest,
) -> Result<(call::Call, completion::Guards), refused::Refused> {
    let service = resolve::plain_service(&snapshot.text, account, &req.service)?;
    let text::Backing::Plain { non_repeatable, .. } = &service.backing else {
        return Err(resolve::unknown_service(&req.service).into());
    };
    let mut idempotency = req.idempotency;
    let may_repeat = repeatability::is_repeatable(non_repeatable, &req.method, &req.path);
    if !may_repeat && idempotency.key.is_none() {
        idempotency.key = Some(random_key());
    }
    let is_repeatable = may_repeat && idempotency.key.is_none();
    let policy = resolve::ServicePolicy::for_service(service);
    let job = make_job(cx, account, &policy, req.deadline, idempotency)?;
    let guards = admit(cx, snapshot, account, Some(service), &job)?;
    let call = backend_server::ServiceCall {
        id: job.id.clone(),
        method: req.method,
        path: req.path,
        content_type: req.content_type,
        body: req.body,
    };
    let call = call::Call {
        job,
        call,
        is_repeatable,
    };
    Ok((call, guards))
}

fn check_length(
    resolved: &resolve::Resolved<'_>,
    prompt_tokens: ids::Tokens,
    max_tokens: ids::Tokens,
) -> Result<(), error::Error> {
    let total_tokens = prompt_tokens.saturating_add(max_tokens);
    let gang_memory = resolved
        .kind
        .memory_tokens
        .saturating_mul(gang::MAX_ENGINES);
    let limit = resolved.model.context_tokens.min(gang_memory);
    if total_tokens <= limit {
        return Ok(());
    }
    Err(error::Error::not_run(
        error::ErrorKind::PromptTooLong,
        format!(
            "the prompt has {prompt_tokens} tokens and up to {max_tokens} output tokens are \
             requested; the model takes at most {limit} in total"
        ),
    ))
}

fn make_job(
    cx: &cx::Cx,
    account: &text::ClientAccount,
    policy: &resolve::ServicePolicy<'_>,
    deadline: Option<time::Duration>,
    idempotency: Idempotency,
) -> Result<job::Job, error::Error> {
    let timeout = deadline.unwrap_or(policy.default_deadline);
    if timeout > policy.max_deadline {
        return Err(error::Error::not_run(
            error::ErrorKind::InvalidRequest,
            format!(
                "the deadline exceeds the maximum of {} ms",
                policy.max_deadline.as_millis()
            ),
        ));
    }
    let claim_key = idempotency.key.as_deref().map(|key| (&account.name, key));
    let id = cx.control.next_request_id(claim_key);
    let claim = idempotency.key.map(|key| control::ClaimRequest {
        account: account.name.clone(),
        key,
        body_digest: idempotency.body_digest,
        request: id.clone(),
    });
    Ok(job::Job {
        id,
        account: account.name.clone(),
        service: policy.name.to_owned(),
        deadline: cx.clock.now() + timeout,
        claim,
        retry_percent: policy.retry_percent,
    })
}

/// Checks limits, freshness and dependencies, and counts the request.
///
/// These checks depend on the current state of the entry, not on the request alone.
fn admit(
    cx: &sync::Arc<cx::Cx>,
    snapshot: &snapshot::Snapshot,
    account: &text::ClientAccount,
    service: Option<&text::Service>,
    job: &job::Job,
) -> Result<completion::Guards, refused::Refused> {
    let refuse = |err| refused::Refused::new(cx, job, err);
    let in_flight = cx.enter().map_err(refuse)?;
    let now = cx.clock.now();
    admission::check_fresh(snapshot, now).map_err(refuse)?;
    let running = cx.accounts.enter(snapshot, account).map_err(refuse)?;
    if let Some(service) = service {
        admission::check_dependencies(snapshot, service, now).map_err(refuse)?;
    }
    Ok(completion::Guards { in_flight, running })
}

/// Returns a random key for a call that must not be repeated and has no key of its own.
fn random_key() -> String {
    let bytes: [u8; 16] = rand::random();
    format!("unnamed-{}", hex::encode(bytes))
}
