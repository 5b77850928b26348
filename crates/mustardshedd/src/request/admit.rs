//! Admission of prompts and calls: from what a caller sent to what a driver carries.

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

/// Key and digest of a request that is to run at most once.
#[derive(Clone, Debug, Default)]
pub struct Idempotency {
    /// Key that the caller chose.
    pub key: Option<String>,
    /// Digest of method, path and body.
    pub body_digest: [u8; 32],
}

/// A prompt as a caller sent it.
#[derive(Clone, Debug)]
pub struct PromptRequest {
    /// Model, or service that a model stands behind.
    pub model: String,
    /// Prompt.
    pub prompt: Bytes,
    /// How the prompt's bytes are to be read.
    pub prompt_format: backend_server::PromptFormat,
    /// Output length at most, in tokens.
    pub max_tokens: ids::Tokens,
    /// Deadline that the caller named.
    pub deadline: Option<time::Duration>,
    /// Key and digest.
    pub idempotency: Idempotency,
}

/// A call of a plain service as a caller sent it.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Service.
    pub service: ids::ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Deadline that the caller named.
    pub deadline: Option<time::Duration>,
    /// Key and digest.
    pub idempotency: Idempotency,
}

/// Admits a prompt of `prompt_tokens`.
///
/// # Errors
///
/// Returns why it is refused; nothing has run then.
pub fn prompt(
    cx: &sync::Arc<cx::Cx>,
    snapshot: &snapshot::Snapshot,
    account: &text::ClientAccount,
    resolved: &resolve::Resolved<'_>,
    ask: PromptRequest,
    prompt_tokens: ids::Tokens,
) -> Result<(completion::Completion, completion::Guards), refused::Refused> {
    check_length(resolved, prompt_tokens, ask.max_tokens)?;
    let terms = resolved.policy();
    let job = make_job(cx, account, &terms, ask.deadline, ask.idempotency)?;
    let guards = admit(cx, snapshot, account, resolved.service, &job)?;
    let completion = completion::Completion {
        job,
        model: resolved.model.name.clone(),
        prompt: ask.prompt,
        prompt_format: ask.prompt_format,
        prompt_tokens,
        max_tokens: ask.max_tokens,
    };
    Ok((completion, guards))
}

/// Admits a call of a plain service.
///
/// # Errors
///
/// Returns why it is refused; nothing has run then.
pub fn call(
    cx: &sync::Arc<cx::Cx>,
    snapshot: &snapshot::Snapshot,
    account: &text::ClientAccount,
    ask: CallRequest,
) -> Result<(call::Call, completion::Guards), refused::Refused> {
    let service = resolve::plain_service(&snapshot.text, account, &ask.service)?;
    let text::Backing::Plain { non_repeatable, .. } = &service.backing else {
        return Err(resolve::unknown_service(&ask.service).into());
    };
    let mut identity = ask.idempotency;
    let may_repeat = repeatability::is_repeatable(non_repeatable, &ask.method, &ask.path);
    if !may_repeat && identity.key.is_none() {
        identity.key = Some(random_key());
    }
    let is_repeatable = may_repeat && identity.key.is_none();
    let terms = resolve::ServicePolicy::for_service(service);
    let job = make_job(cx, account, &terms, ask.deadline, identity)?;
    let guards = admit(cx, snapshot, account, Some(service), &job)?;
    let call = backend_server::ServiceCall {
        id: job.id.clone(),
        method: ask.method,
        path: ask.path,
        content_type: ask.content_type,
        body: ask.body,
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
    let whole = prompt_tokens.saturating_add(max_tokens);
    let gang_memory = resolved
        .kind
        .memory_tokens
        .saturating_mul(gang::MAX_ENGINES);
    let most = resolved.model.context_tokens.min(gang_memory);
    if whole <= most {
        return Ok(());
    }
    Err(error::Error::not_run(
        error::ErrorKind::PromptTooLong,
        format!(
            "the prompt has {prompt_tokens} tokens and {max_tokens} of output are wanted; \
             the model takes {most} together"
        ),
    ))
}

fn make_job(
    cx: &cx::Cx,
    account: &text::ClientAccount,
    terms: &resolve::ServicePolicy<'_>,
    deadline: Option<time::Duration>,
    identity: Idempotency,
) -> Result<job::Job, error::Error> {
    let patience = deadline.unwrap_or(terms.default_deadline);
    if patience > terms.max_deadline {
        return Err(error::Error::not_run(
            error::ErrorKind::InvalidRequest,
            format!(
                "the deadline is longer than {} ms",
                terms.max_deadline.as_millis()
            ),
        ));
    }
    let named = identity.key.as_deref().map(|key| (&account.name, key));
    let id = cx.control.next_request_id(named);
    let claim = identity.key.map(|key| control::ClaimRequest {
        account: account.name.clone(),
        key,
        body_digest: identity.body_digest,
        request: id.clone(),
    });
    Ok(job::Job {
        id,
        account: account.name.clone(),
        service: terms.name.to_owned(),
        deadline: cx.clock.now() + patience,
        claim,
        retry_percent: terms.retry_percent,
    })
}

/// Checks what changes from moment to moment and counts the request.
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

/// Makes a key for a call that may not be repeated and names none.
fn random_key() -> String {
    let bytes: [u8; 16] = rand::random();
    format!("unnamed-{}", hex::encode(bytes))
}
