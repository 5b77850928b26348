//! Log events and metrics that prompts and calls share.

use mustardshed::core::{error, ids, outcome::Outcome, request::route};

use crate::{
    log::{self, event},
    request::{cx, failure, job},
};

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub struct End<'a> {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Kind of the error that ended it, if one did.
    pub error: Option<error::ErrorKind>,
    /// Backend servers that the request was sent to.
    pub servers: &'a [ids::BackendServerId],
    /// Output length in tokens.
    pub tokens: ids::Tokens,
    /// Time at which the request started.
    pub started_at: ids::Timestamp,
    /// Name of the metric for the request's duration.
    pub metric: &'static str,
}

/// Logs which backend server an attempt is routed to, and why.
pub fn routed(
    job: &job::Job,
    decision: &route::decision::Decision,
    prompt_tokens: ids::Tokens,
    attempt: u32,
) {
    log::emit(&event::Event::Routed {
        request: &job.id,
        account: &job.account,
        service: &job.service,
        server: &decision.server,
        data_centre: &decision.data_centre,
        estimate_ms: decision.estimate.total().as_millis(),
        prompt_tokens,
        attempt,
        reason: &decision.to_string(),
    });
}

/// Logs that a request can't be routed to any backend server now, and why.
pub fn not_routed(job: &job::Job, reason: &str) {
    log::emit(&event::Event::NotRouted {
        request: &job.id,
        account: &job.account,
        service: &job.service,
        reason,
    });
}

/// Logs that an attempt failed, and what may follow.
pub fn failed(job: &job::Job, servers: &[ids::BackendServerId], failure: &failure::Failure) {
    log::emit(&event::Event::AttemptFailed {
        request: &job.id,
        servers: &servers.join(","),
        code: failure.error.kind.to_response().code,
        outcome: failure.error.outcome.as_str(),
        next: failure.next.as_str(),
        reason: &failure.error.message,
    });
}

/// Logs the end of a request and updates the metrics.
pub fn ended(cx: &cx::Cx, job: &job::Job, end: End<'_>) {
    let elapsed = cx.clock.now().saturating_sub(end.started_at);
    cx.metrics.time(end.metric, elapsed);
    cx.metrics.count(end.outcome.as_str());
    log::emit(&event::Event::Ended {
        request: &job.id,
        account: &job.account,
        service: &job.service,
        outcome: end.outcome.as_str(),
        code: end.error.map_or("none", |kind| kind.to_response().code),
        servers: &end.servers.join(","),
        tokens: end.tokens,
        elapsed_ms: elapsed.as_millis(),
    });
}
