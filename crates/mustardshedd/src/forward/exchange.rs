//! One request, from its head to the end of its answer.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt, combinators};
use hyper::body;
use mustardshed::{
    core::{
        forward::{head, placement, planned_stop, routes},
        ids,
    },
    platform::{headers, topic},
};

use crate::{
    forward::{cx, refusal},
    http::body as client_body,
    log::{self, event},
};

mod attempt;
mod driver;
mod events;
mod relay;

/// Body of an answer; an error breaks the connection off, so that nobody takes it for whole.
pub type Body = combinators::UnsyncBoxBody<Bytes, Broken>;

/// Answer to a client.
pub type Answer = http::Response<Body>;

/// An answer that cannot be finished.
#[derive(Clone, Copy, Debug, displaydoc::Display)]
pub enum Broken {
    /// the answer cannot be finished
    Unfinished,
}

impl std::error::Error for Broken {}

/// Part of the time within which a change must be in force up to which the configuration may be old by
/// which a large fleet calls a key or a path unknown: what relays tell is as old as a watch and a beat.
/// In a small fleet the look must have begun after the request came, but for what was looked for
/// within that time before.
const UNKNOWN_SHARE: f64 = 0.75;
/// Longest wait for that look.
const LOOK_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Longest body where the configuration sets no limit, in bytes.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest wait for a body where the configuration sets no time.
const DEFAULT_BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Weight of a request without sizes, in tokens.
const UNSIZED_PROMPT: ids::Tokens = 1_000;

/// A request that is admitted.
#[derive(Debug)]
struct Admitted {
    cx: sync::Arc<cx::Cx>,
    routes: sync::Arc<routes::Routes>,
    route: routes::Route,
    account: Option<routes::Account>,
    head: head::Head,
    parts: http::request::Parts,
    body: Bytes,
    arrived_at: ids::Timestamp,
}

impl Admitted {
    /// Returns the name that the client gave to the request.
    fn id(&self) -> &str {
        self.head.request.as_deref().unwrap_or_default()
    }

    /// Returns the time after which the client waits no longer, or must not be kept waiting.
    fn deadline(&self) -> ids::Timestamp {
        let patience = self.head.patience.unwrap_or(self.route.timeout);
        self.arrived_at + patience.min(self.route.timeout)
    }

    /// Returns the time left until the client gives up.
    fn time_left(&self, now: ids::Timestamp) -> time::Duration {
        let patience = self.head.patience.unwrap_or(self.route.timeout);
        (self.arrived_at + patience).saturating_sub(now)
    }

    /// Returns the silence of a stream after which its client leaves.
    fn silence(&self) -> time::Duration {
        /// Clients leave after a silence of this, or of a multiple of what is on time.
        const LEAST_SILENCE: time::Duration = time::Duration::from_secs(2);
        const OBJECTIVES: u32 = 4;
        const GAPS: u32 = 8;
        LEAST_SILENCE
            .max(self.route.objective * OBJECTIVES)
            .max(self.route.gap_objective * GAPS)
    }

    /// Returns what the request needs of an engine.
    fn need(&self) -> placement::Need {
        let silence = self.silence();
        let services = self.route.services.first();
        let service = services.and_then(|(name, _)| self.routes.service(name));
        let usual = service.and_then(|service| service.engine);
        let usual = usual.map(|engine| engine.usual_answer_tokens);
        let answer = self.head.answer_hint.or(self.head.answer_limit).or(usual);
        placement::Need {
            prompt_tokens: self.head.prompt_tokens.unwrap_or(UNSIZED_PROMPT),
            answer_tokens: answer.unwrap_or_default(),
            objective_ms: millis(self.route.objective),
            patience_ms: millis(silence.min(self.deadline().saturating_sub(self.arrived_at))),
            arrived_at: self.arrived_at,
            gap_ms: millis(self.route.gap_objective),
            is_begun: false,
            bid: 1.0,
        }
    }

    /// Returns the time that a stream takes at most; without sizes, all that its client has.
    fn longest(&self) -> time::Duration {
        let services = self.route.services.first();
        let service = services.and_then(|(name, _)| self.routes.service(name));
        let profile = service.and_then(|service| service.engine);
        match (profile, self.head.answer_limit) {
            (Some(profile), Some(limit)) => planned_stop::longest(&profile, &self.need(), limit),
            _ => self.deadline().saturating_sub(self.arrived_at),
        }
    }

    /// Returns the rank of the request.
    fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }
}

fn millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Serves one request.
pub async fn serve(cx: sync::Arc<cx::Cx>, req: http::Request<body::Incoming>) -> Answer {
    let arrived_at = cx.now();
    let head = headers::request(req.headers());
    let id = head.request.clone();
    let result = match admit(&cx, req, head, arrived_at).await {
        Ok(admitted) => driver::run(admitted).await,
        Err(refusal) => Err(refusal),
    };
    let mut answer = match result {
        Ok(answer) => answer,
        Err(refusal) => refuse(&cx, id.as_deref(), refusal, arrived_at),
    };
    if cx.is_draining() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    answer
}

/// Returns the answer that refuses a request.
fn refuse(
    cx: &cx::Cx,
    id: Option<&str>,
    refusal: refusal::Refusal,
    arrived_at: ids::Timestamp,
) -> Answer {
    cx.metrics.refused(refusal);
    let now = cx.now();
    let (version, age_ms) = {
        let state = cx.state();
        let version = state.view.routes().map_or(0, |routes| routes.version);
        let age = state.view.age(topic::Topic::Configuration, now);
        (version, age.map_or(u128::MAX, |age| age.as_millis()))
    };
    log::emit(&event::Event::ForwardRefused {
        request: id.unwrap_or_default(),
        status: refusal.status().as_u16(),
        reason: &refusal.to_string(),
        retry_after_ms: refusal.retry_after().unwrap_or_default().as_millis(),
        version,
        age_ms,
        elapsed_ms: now.saturating_sub(arrived_at).as_millis(),
    });
    let text = format!("{refusal}\n");
    let mut answer = http::Response::new(whole(Bytes::from(text)));
    *answer.status_mut() = refusal.status();
    *answer.headers_mut() = headers::own_answer(id, refusal.retry_after());
    answer
}

/// Returns a body that is there as a whole.
pub(super) fn whole(bytes: Bytes) -> Body {
    let body = http_body_util::Full::new(bytes);
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Checks route, key and sizes of a request and reads its body.
async fn admit(
    cx: &sync::Arc<cx::Cx>,
    req: http::Request<body::Incoming>,
    head: head::Head,
    arrived_at: ids::Timestamp,
) -> Result<Admitted, refusal::Refusal> {
    let mut found = find(cx, &req, &head, arrived_at);
    if matches!(
        found,
        Err(refusal::Refusal::UnknownKey | refusal::Refusal::UnknownRoute)
    ) && !look(cx, &wanted_name(&req, &head, &found), arrived_at).await
    {
        return Err(refusal::Refusal::Stale);
    } else if found.is_err() {
        found = find(cx, &req, &head, cx.now());
    }
    let (routes, route, account) = found?;
    if head.request.is_none() {
        return Err(refusal::Refusal::NoIdentifier);
    }
    let limits = routes.limits;
    let max_bytes = limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.max_body_bytes);
    let timeout = limits.map_or(DEFAULT_BODY_TIMEOUT, |limits| limits.idle_timeout);
    let (parts, body) = req.into_parts();
    let body = read(body, max_bytes, timeout).await?;
    let admitted = Admitted {
        cx: sync::Arc::clone(cx),
        routes,
        route,
        account,
        head,
        parts,
        body,
        arrived_at,
    };
    if admitted.route.repeat.is_stream() && !cx.takes_stream(admitted.longest()) {
        return Err(refusal::Refusal::Leaving);
    }
    Ok(admitted)
}

type Found = (
    sync::Arc<routes::Routes>,
    routes::Route,
    Option<routes::Account>,
);

fn find(
    cx: &cx::Cx,
    req: &http::Request<body::Incoming>,
    head: &head::Head,
    now: ids::Timestamp,
) -> Result<Found, refusal::Refusal> {
    let (routes, is_fresh) = {
        let state = cx.state();
        let routes = state.view.routes().cloned();
        let limit = cx.key_limit();
        let is_fresh = state.view.is_fresh(topic::Topic::Configuration, limit, now);
        (routes.ok_or(refusal::Refusal::NoConfiguration)?, is_fresh)
    };
    let route = routes.route(host(req), req.uri().path());
    let route = route.ok_or(refusal::Refusal::UnknownRoute)?.clone();
    if !routes.needs_key(&route) {
        return Ok((routes, route, None));
    }
    if !is_fresh {
        return Err(refusal::Refusal::Stale);
    }
    let account = head
        .key
        .as_ref()
        .and_then(|key| routes.account(key))
        .cloned();
    let account = account.ok_or(refusal::Refusal::UnknownKey)?;
    Ok((routes, route, Some(account)))
}

/// Returns the host that a request names, without its port.
fn host(req: &http::Request<body::Incoming>) -> &str {
    let host = req.headers().get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Returns what a request was not found by: its key, or its host and path.
fn wanted_name(
    req: &http::Request<body::Incoming>,
    head: &head::Head,
    found: &Result<Found, refusal::Refusal>,
) -> String {
    match (found, &head.key) {
        (Err(refusal::Refusal::UnknownKey), Some(key)) => format!("key {key}"),
        (Err(refusal::Refusal::UnknownKey), None) => "no key".to_owned(),
        _ => format!("path {} {}", host(req), req.uri().path()),
    }
}

/// Waits until the configuration is known to be no older than a request that was not found in it by
/// `name`, or than may be, or until it cannot be known in time; returns whether it is.
async fn look(cx: &cx::Cx, name: &str, arrived_at: ids::Timestamp) -> bool {
    let limit = cx.settings.bounds.application.mul_f64(UNKNOWN_SHARE);
    let may_be_old =
        cx.is_large_fleet() || cx.state().unknown.was_looked_for(name, limit, arrived_at);
    let since = if may_be_old {
        arrived_at.saturating_sub(limit)
    } else {
        arrived_at
    };
    let is_known = || {
        let now = cx.now();
        let mut state = cx.state();
        let age = state.view.age(topic::Topic::Configuration, now);
        let is_known = age.is_some_and(|age| now.saturating_sub(age) >= since);
        if !is_known {
            state.wanted_as_of = state.wanted_as_of.max(since);
        } else if !may_be_old {
            state.unknown.looked_for(name, limit, now);
        }
        is_known
    };
    let looking = async {
        loop {
            let looked = cx.looked.notified();
            if is_known() {
                return;
            }
            cx.look.notify_one();
            looked.await;
        }
    };
    tokio::time::timeout(LOOK_TIMEOUT, looking).await.is_ok()
}

async fn read(
    incoming: body::Incoming,
    max_bytes: usize,
    timeout: time::Duration,
) -> Result<Bytes, refusal::Refusal> {
    let announced = body::Body::size_hint(&incoming).lower();
    let mut parts = http_body_util::BodyDataStream::new(incoming);
    let whole = client_body::read_whole(&mut parts, announced, max_bytes, timeout);
    whole.await.map_err(|e| match e {
        client_body::ReadError::TooLong => refusal::Refusal::TooLarge,
        client_body::ReadError::Truncated | client_body::ReadError::TimedOut => {
            refusal::Refusal::BrokenBody
        }
    })
}
