//! One request, from its head to the end of its response.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::{BodyExt, combinators};
use hyper::body;
use mustardshed::{
    core::{
        forward::{head, placement, planned_stop, routes},
        ids,
    },
    platform::headers,
};

use crate::{
    forward::{clients, cx, memory, refusal},
    log::{self, event},
};

mod attempt;
pub mod content;
mod dispatch;
mod events;
mod passing;
mod request_body;
mod streaming;

/// Response body; an error closes the connection early, so that no client takes the body for
/// complete.
pub type Body = combinators::UnsyncBoxBody<Bytes, BodyError>;

/// Response to a client.
pub type Response = http::Response<Body>;

/// Why a response body ends early.
#[derive(Clone, Copy, Debug, displaydoc::Display)]
pub enum BodyError {
    /// the response cannot be completed
    Unfinished,
}

impl std::error::Error for BodyError {}

/// Share of the time within which a change must be in force: the greatest age of the configuration
/// at which an entry of a large fleet refuses an unknown key or path, since data from relays lags
/// by a watch and a heartbeat. In a small fleet the read must have begun after the request arrived,
/// unless the same key or path was checked within that time before.
const UNKNOWN_SHARE: f64 = 0.75;
/// Longest wait for that read.
const REFRESH_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Largest request body if the configuration sets no limit, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest wait for a request body if the configuration sets none.
const DEFAULT_BODY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Assumed prompt length of a request that states none, in tokens.
const DEFAULT_PROMPT_TOKENS: ids::Tokens = 1_000;

/// A request that passed the checks of route, key and sizes.
#[derive(Debug)]
struct Admitted {
    cx: sync::Arc<cx::Cx>,
    routes: sync::Arc<routes::Routes>,
    route: routes::Route,
    account: Option<routes::Account>,
    head: head::RequestHead,
    parts: http::request::Parts,
    body: Bytes,
    arrived_at: ids::Timestamp,
    _memory: memory::Held,
}

impl Admitted {
    /// Returns the client's identifier of the request.
    fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or_default()
    }

    /// Returns when the client stops waiting or the route's timeout ends, whichever is earlier.
    fn deadline(&self) -> ids::Timestamp {
        let max_wait = self.head.timeout.unwrap_or(self.route.timeout);
        self.arrived_at + max_wait.min(self.route.timeout)
    }

    /// Returns the time left until the client gives up, or the route's timeout if it stated none.
    fn time_left(&self, now: ids::Timestamp) -> time::Duration {
        let max_wait = self.head.timeout.unwrap_or(self.route.timeout);
        (self.arrived_at + max_wait).saturating_sub(now)
    }

    /// Returns the longest silence of a stream that its client tolerates.
    fn max_silence(&self) -> time::Duration {
        /// Clients close a stream after a silence of this or of a multiple of the route's
        /// objectives, whichever is longest.
        const MIN_SILENCE: time::Duration = time::Duration::from_secs(2);
        const OBJECTIVE_FACTOR: u32 = 4;
        const GAP_FACTOR: u32 = 8;
        MIN_SILENCE
            .max(self.route.objective * OBJECTIVE_FACTOR)
            .max(self.route.gap_objective * GAP_FACTOR)
    }

    /// Returns what the request needs of an engine.
    fn need(&self) -> placement::Need {
        let max_silence = self.max_silence();
        let services = self.route.services.first();
        let service = services.and_then(|(name, _)| self.routes.service(name));
        let usual = service.and_then(|service| service.engine);
        let usual = usual.map(|engine| engine.typical_output_tokens);
        let answer = self
            .head
            .output_tokens_hint
            .or(self.head.max_output_tokens)
            .or(usual);
        placement::Need {
            prompt_tokens: self.head.prompt_tokens.unwrap_or(DEFAULT_PROMPT_TOKENS),
            output_tokens: answer.unwrap_or_default(),
            objective_ms: millis(self.route.objective),
            timeout_ms: millis(max_silence.min(self.deadline().saturating_sub(self.arrived_at))),
            arrived_at: self.arrived_at,
            gap_objective_ms: millis(self.route.gap_objective),
            is_retry: false,
            max_cost_share: 1.0,
            urgency: service.map_or(1.0, |s| self.routes.urgency(&self.route, &s.name)),
            stop: self.stop_limit(),
        }
    }

    /// Returns the limit that the planned stop of this entry sets to the request; none if its time is
    /// over before, or its length is not known.
    fn stop_limit(&self) -> Option<planned_stop::Limit> {
        let ends_at = self.cx.stops_at()?;
        let is_cut = self.route.kind.is_stream() && self.deadline() > ends_at;
        let max_output_tokens = self.head.max_output_tokens.filter(|_| is_cut)?;
        Some(planned_stop::Limit {
            ends_at,
            max_output_tokens,
        })
    }

    /// Returns the longest duration of a stream on a server that is slower than its profile by the
    /// factor `slowdown`; all of its client's time if the sizes are unknown.
    fn max_duration(&self, slowdown: f64) -> time::Duration {
        let services = self.route.services.first();
        let service = services.and_then(|(name, _)| self.routes.service(name));
        let engine = service.and_then(|service| service.engine);
        match (engine, self.head.max_output_tokens) {
            (Some(engine), Some(max)) => {
                planned_stop::max_duration(&engine, &self.need(), max, slowdown)
            }
            _ => self.deadline().saturating_sub(self.arrived_at),
        }
    }

    /// Returns whether the response is complete before this entry ends, if that is being stopped, on
    /// a server with this slowdown.
    fn fits_planned_stop(&self, slowdown: f64) -> bool {
        if self.route.kind.is_stream() {
            return self.cx.takes_stream(self.max_duration(slowdown));
        }
        let left = self.deadline().saturating_sub(self.cx.now());
        self.cx.takes_call(left)
    }

    /// Returns the priority of the request: the account's if it has one, else the route's.
    fn priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        account.unwrap_or(self.route.priority)
    }
}

fn millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Serves one request.
pub async fn serve(
    cx: sync::Arc<cx::Cx>,
    req: http::Request<body::Incoming>,
    request: &clients::Request,
) -> Response {
    let arrived_at = cx.now();
    let head = headers::request(req.headers());
    let id = head.request_id.clone();
    let admitted = tokio::select! {
        biased;
        admitted = admit(&cx, req, request, head, arrived_at) => admitted,
        () = cx.wait_for_drain_timeout() => Err(refusal::Refusal::Leaving),
    };
    let result = match admitted {
        Ok(admitted) => dispatch::run(admitted).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refuse(&cx, id.as_deref(), refusal, arrived_at),
    };
    if cx.is_draining() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

/// Counts and logs a refusal and returns its response.
fn refuse(
    cx: &cx::Cx,
    id: Option<&str>,
    refusal: refusal::Refusal,
    arrived_at: ids::Timestamp,
) -> Response {
    cx.metrics.refused(refusal);
    let now = cx.now();
    let (version, age_ms) = {
        let state = cx.state();
        let version = state.view.routes().map_or(0, |routes| routes.version);
        let age = state.view.configuration_age(now);
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
    let mut response = http::Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = refusal.status();
    *response.headers_mut() = headers::local_reply(id, refusal.retry_after());
    response
}

/// Returns a response body with these bytes.
pub(super) fn full_body(bytes: Bytes) -> Body {
    let body = http_body_util::Full::new(bytes);
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Checks route, key and sizes of a request and reads its body. If the key or route is unknown, the
/// configuration is refreshed first.
///
/// # Errors
///
/// Returns the refusal to send to the client.
async fn admit(
    cx: &sync::Arc<cx::Cx>,
    req: http::Request<body::Incoming>,
    request: &clients::Request,
    head: head::RequestHead,
    arrived_at: ids::Timestamp,
) -> Result<Admitted, refusal::Refusal> {
    let found = check_head(cx, &req, &head, arrived_at).await;
    let (parts, body) = req.into_parts();
    let (routes, route, account) = match found {
        Ok(found) => found,
        Err(refusal) => {
            request_body::discard(body, request);
            return Err(refusal);
        }
    };
    let handle = request.handle();
    let memory = match handle.take_memory(&cx.memory, memory::REQUEST_BYTES).await {
        Ok(memory) => memory,
        Err(memory::Exhausted) => {
            request_body::discard(body, request);
            return Err(refusal::Refusal::NoMemory);
        }
    };
    let limits = routes.limits;
    let max_bytes = limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.max_body_bytes);
    let timeout = limits.map_or(DEFAULT_BODY_TIMEOUT, |limits| limits.idle_timeout);
    let body = request_body::read(cx, body, request, max_bytes, timeout).await?;
    request.record_arrived();
    let admitted = Admitted {
        cx: sync::Arc::clone(cx),
        routes,
        route,
        account,
        head,
        parts,
        body,
        arrived_at,
        _memory: memory,
    };
    if admitted.fits_planned_stop(1.0) {
        Ok(admitted)
    } else {
        Err(refusal::Refusal::Leaving)
    }
}

/// Finds the route and the account of a request. If either is unknown, the configuration is
/// refreshed first.
async fn check_head(
    cx: &cx::Cx,
    req: &http::Request<body::Incoming>,
    head: &head::RequestHead,
    arrived_at: ids::Timestamp,
) -> Result<Resolved, refusal::Refusal> {
    let mut found = resolve(cx, req, head, arrived_at);
    let is_unknown = matches!(
        found,
        Err(refusal::Refusal::UnknownKey | refusal::Refusal::UnknownRoute)
    );
    // Another read would not tell more than the last one.
    if is_unknown && cx.state().view.is_configuration_superseded() {
        return Err(refusal::Refusal::Stale);
    }
    if is_unknown && !refresh_configuration(cx, &lookup_name(req, head, &found), arrived_at).await {
        return Err(refusal::Refusal::Stale);
    } else if found.is_err() {
        found = resolve(cx, req, head, cx.now());
    }
    if found.is_ok() && head.request_id.is_none() {
        return Err(refusal::Refusal::NoIdentifier);
    }
    found
}

type Resolved = (
    sync::Arc<routes::Routes>,
    routes::Route,
    Option<routes::Account>,
);

fn resolve(
    cx: &cx::Cx,
    req: &http::Request<body::Incoming>,
    head: &head::RequestHead,
    now: ids::Timestamp,
) -> Result<Resolved, refusal::Refusal> {
    let (routes, is_fresh) = {
        let state = cx.state();
        let routes = state.view.routes().cloned();
        let limit = cx.max_key_age();
        let is_fresh = state.view.is_configuration_fresh(limit, now);
        (routes.ok_or(refusal::Refusal::NoConfiguration)?, is_fresh)
    };
    let route = routes.route(host(req.headers()), req.uri().path());
    let route = route.map_err(|e| not_found(e, refusal::Refusal::UnknownRoute));
    let route = route?.clone();
    if !routes.needs_key(&route) {
        return Ok((routes, route, None));
    }
    if !is_fresh {
        return Err(refusal::Refusal::Stale);
    }
    let key = head.key.as_ref().ok_or(refusal::Refusal::UnknownKey)?;
    let account = routes.account(key).cloned();
    let account = account.map_err(|e| not_found(e, refusal::Refusal::UnknownKey))?;
    Ok((routes, route, Some(account)))
}

/// Returns the refusal of a request whose route or key is not found.
const fn not_found(e: routes::NotFound, unknown: refusal::Refusal) -> refusal::Refusal {
    match e {
        routes::NotFound::Unknown => unknown,
        routes::NotFound::Undecoded => refusal::Refusal::Undecoded,
    }
}

/// Returns the host that a request names, without its port.
fn host(headers: &http::HeaderMap) -> &str {
    let host = headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Returns what could not be resolved, as a cache key: the request's key, or its host and path.
fn lookup_name(
    req: &http::Request<body::Incoming>,
    head: &head::RequestHead,
    found: &Result<Resolved, refusal::Refusal>,
) -> String {
    match (found, &head.key) {
        (Err(refusal::Refusal::UnknownKey), Some(key)) => format!("key {key}"),
        (Err(refusal::Refusal::UnknownKey), None) => "no key".to_owned(),
        _ => format!("path {} {}", host(req.headers()), req.uri().path()),
    }
}

/// Waits until the configuration is recent enough to refuse `name`, which was not found in it;
/// returns false if that takes too long.
async fn refresh_configuration(cx: &cx::Cx, name: &str, arrived_at: ids::Timestamp) -> bool {
    let limit = cx.settings.bounds.application.mul_f64(UNKNOWN_SHARE);
    let may_be_old =
        cx.is_large_fleet() || cx.state().negative_cache.contains(name, limit, arrived_at);
    let since = if may_be_old {
        arrived_at.saturating_sub(limit)
    } else {
        arrived_at
    };
    let is_known = || {
        let now = cx.now();
        let mut state = cx.state();
        let age = state.view.configuration_age(now);
        let is_known = age.is_some_and(|age| now.saturating_sub(age) >= since);
        if !is_known {
            state.required_as_of = state.required_as_of.max(since);
        } else if !may_be_old {
            state.negative_cache.insert(name, limit, now);
        }
        is_known
    };
    let refreshing = async {
        loop {
            let refreshed = cx.refreshed.notified();
            if is_known() {
                return;
            }
            cx.refresh.notify_one();
            refreshed.await;
        }
    };
    tokio::time::timeout(REFRESH_TIMEOUT, refreshing)
        .await
        .is_ok()
}
