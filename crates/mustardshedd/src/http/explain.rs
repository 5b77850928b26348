//! `GET /operator/explain`: how a prompt would be routed, and why.

use mustardshed::core::{
    error, ids,
    process::snapshot,
    request::{admission, gang, route, route::work},
};

use crate::{
    http::{cx, message, reply},
    request::resolve,
};

/// Query of `GET /operator/explain`.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq)]
pub struct Query {
    /// Model, or service backed by a model.
    #[serde(alias = "model")]
    service: String,
    /// Client account.
    account: String,
    /// Prompt length, in tokens.
    tokens: ids::Tokens,
    /// Maximum output length, in tokens.
    #[serde(default)]
    max_tokens: ids::Tokens,
}

/// Explains how a prompt would be routed now.
///
/// # Errors
///
/// Returns an error if the account or the model is unknown, or the account may not use the model.
pub fn explain(cx: &cx::Cx, query: &Query) -> Result<message::ExplainResponse, error::Error> {
    let snapshot = cx.requests.control.snapshot();
    let now = cx.requests.clock.now();
    let account = snapshot
        .text
        .client_accounts
        .get(&query.account)
        .ok_or_else(|| {
            error::Error::not_run(
                error::ErrorKind::NotFound,
                "no client account has this name",
            )
        })?;
    let resolved = resolve::model(&snapshot.text, account, &query.service)?;
    let target = work::Target::Model {
        model: resolved.model,
        kind: resolved.kind,
    };
    let work =
        work::Work::new(target, cx.requests.next_seed()).tokens(query.tokens, query.max_tokens);
    let mut response = decide(&snapshot, &work, now);
    if let Err(err) = admission::check_fresh(&snapshot, now) {
        response.decision = None;
        response.reason = err.message;
    }
    Ok(response)
}

fn decide(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    now: ids::Timestamp,
) -> message::ExplainResponse {
    let (decision, reason) = if gang::is_needed(work) {
        decide_gang(snapshot, work, now)
    } else {
        decide_single(snapshot, work, now)
    };
    message::ExplainResponse {
        decision,
        reason,
        candidates: route::explain(snapshot, work, now)
            .into_iter()
            .map(candidate)
            .collect(),
    }
}

fn decide_single(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    now: ids::Timestamp,
) -> (Option<message::DecisionBody>, String) {
    match route::decide(snapshot, work, now) {
        Ok(decision) => {
            let reason = decision.to_string();
            let body = message::DecisionBody {
                servers: vec![decision.server],
                data_centre: decision.data_centre,
                estimate_ms: reply::millis(decision.estimate.total()),
                tokens_each: work.memory_tokens,
            };
            (Some(body), reason)
        }
        Err(none) => (None, none.to_string()),
    }
}

fn decide_gang(
    snapshot: &snapshot::Snapshot,
    work: &work::Work<'_>,
    now: ids::Timestamp,
) -> (Option<message::DecisionBody>, String) {
    let Some(plan) = gang::plan(snapshot, work, now) else {
        let reason =
            "the prompt exceeds one engine's memory, and no data centre has enough engines";
        return (None, reason.to_owned());
    };
    let reason = format!("the prompt exceeds one engine's memory: {}", plan.estimate);
    let body = message::DecisionBody {
        servers: plan.engines.into_iter().map(|e| e.server).collect(),
        data_centre: plan.data_centre,
        estimate_ms: reply::millis(plan.estimate.total()),
        tokens_each: plan.tokens_each,
    };
    (Some(body), reason)
}

fn candidate(candidate: route::decision::Candidate) -> message::CandidateBody {
    message::CandidateBody {
        estimate_ms: candidate.estimate().map(reply::millis),
        reason: candidate.reason(),
        server: candidate.server,
    }
}
