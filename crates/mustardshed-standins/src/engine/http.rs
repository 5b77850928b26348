//! HTTP API of an engine.

use std::{io, sync};

use bytes::Bytes;
use futures_util::TryStreamExt;
use http_body_util::BodyExt;
use hyper::body;
use serde::{Serialize, de};

use crate::{
    delay::{self, timer},
    engine::{faults, gang, job, refusal, scheduler, shared, stream, wire},
};

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

const REQUEST_ID: &str = "x-request-id";
const EPOCH: &str = "x-epoch";

type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, io::Error>;
type Response = http::Response<Body>;
type RouteResult = Result<Response, refusal::Refusal>;

/// HTTP service of one engine.
#[derive(Clone, Debug)]
pub(super) struct Service {
    pub(super) shared: sync::Arc<shared::Shared>,
    pub(super) leader: gang::Leader,
    pub(super) delays: sync::Arc<delay::Delays>,
    pub(super) timer: timer::Timer,
}

impl Service {
    /// Handles a request; one from another data centre is delayed in both directions.
    ///
    /// # Errors
    ///
    /// If the engine is dead, so that the connection is closed without a response.
    pub(super) async fn handle(self, req: http::Request<body::Incoming>) -> io::Result<Response> {
        let delay = self.delays.of_request(&caller_id(&req));
        if delay.is_zero() {
            return self.handle_now(req).await;
        }
        let timer = self.timer.clone();
        timer.wait(delay).await;
        let (parts, body) = self.handle_now(req).await?.into_parts();
        let chunks = delay::delayed(&timer, delay, body.into_data_stream());
        timer.wait(delay).await;
        Ok(Response::from_parts(parts, streamed(chunks)))
    }

    /// Handles a request without a delay.
    async fn handle_now(self, req: http::Request<body::Incoming>) -> io::Result<Response> {
        let admin = req.uri().path().starts_with("/admin/");
        if !admin && self.shared.read(|e| e.faults().dead) {
            return Err(io::Error::from(io::ErrorKind::ConnectionAborted));
        }
        let result = self.route(req).await;
        let mut resp = result.unwrap_or_else(refuse);
        let epoch = self.shared.read(scheduler::Scheduler::epoch);
        resp.headers_mut().insert(EPOCH, epoch.into());
        Ok(resp)
    }

    async fn route(&self, req: http::Request<body::Incoming>) -> RouteResult {
        let path = req.uri().path().to_owned();
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (req.method().as_str(), parts.as_slice()) {
            ("POST", ["v1", "completions"]) => self.complete(req).await,
            ("GET", ["v1", "requests", id, "stream"]) => self.resume(id, req.uri().query()),
            ("POST", ["v1", "requests", id, "cancel"]) => self.cancel(id),
            ("GET", ["v1", "load"]) => self.load(),
            ("PUT", ["v1", "reservations", id]) => self.reserve(id, req).await,
            ("DELETE", ["v1", "reservations", id]) => self.release(id),
            ("POST", ["v1", "gang"]) => self.join(req).await,
            ("GET", ["v1", "cache", "events"]) => self.cache_events(req.uri().query()),
            ("POST", ["v1", "kv", "export"]) => self.export(req).await,
            ("POST", ["v1", "kv", "import"]) => self.import(req).await,
            ("POST", ["v1", "orders"]) => self.order(req).await,
            ("GET", ["admin", "faults"]) => self.faults(),
            ("PUT", ["admin", "faults"]) => self.change_faults(req).await,
            ("GET", ["admin", "records"]) => self.records(),
            _ => Err(refusal::Refusal::NoSuchPath),
        }
    }

    async fn complete(&self, req: http::Request<body::Incoming>) -> RouteResult {
        let id = request_id(&req)?;
        let call: wire::CompletionRequest = read_json(req).await?;
        let offset = call.offset;
        let admission = job::Admission {
            id,
            model: call.model,
            prompt: call.prompt,
            max_tokens: call.max_tokens,
            offset,
            priority: call.priority,
            gang_size: call.gang.len().max(1) as u64,
        };
        let handle = match call.gang.split_first() {
            Some((_, members)) if !members.is_empty() => self.lead(admission, members).await?,
            _ => self.shared.change(|e, now| e.admit(now, admission))?,
        };
        self.stream(handle, offset)
    }

    /// Starts a request on a gang that this engine leads.
    async fn lead(
        &self,
        admission: job::Admission,
        members: &[String],
    ) -> Result<job::Handle, refusal::Refusal> {
        let shard = gang::ShardRequest {
            prefill_tokens: admission.prefill_share(),
            priority: admission.priority,
        };
        let shards = self.leader.begin(&admission.id, members, &shard).await?;
        let slot = self.leader.slot().await?;
        let handle = self.shared.change(|e, now| e.admit(now, admission))?;
        slot.watch(handle.clone(), shards);
        Ok(handle)
    }

    /// Joins a gang that another engine leads.
    async fn join(&self, req: http::Request<body::Incoming>) -> RouteResult {
        let id = request_id(&req)?;
        let shard: gang::ShardRequest = read_json(req).await?;
        let membership = job::Membership {
            id,
            prefill_tokens: shard.prefill_tokens,
            priority: shard.priority,
        };
        let handle = self.shared.change(|e, now| e.join(now, membership))?;
        let events = gang::shard_events(sync::Arc::clone(&self.shared), handle);
        respond("text/plain", streamed(events))
    }

    fn resume(&self, id: &str, query: Option<&str>) -> RouteResult {
        let offset = number_of(query, "offset=")?;
        let found = self.shared.change(|e, now| e.find(now, id));
        let handle = found.ok_or(refusal::Refusal::NoSuchRequest)?;
        self.stream(handle, offset)
    }

    fn stream(&self, handle: job::Handle, offset: u64) -> RouteResult {
        let events = stream::events(sync::Arc::clone(&self.shared), handle, offset);
        respond("text/event-stream", streamed(events))
    }

    fn cancel(&self, id: &str) -> RouteResult {
        self.shared.change(|e, now| e.cancel(now, id));
        json(&serde_json::json!({}))
    }

    fn load(&self) -> RouteResult {
        let (load, age_ms) = self.shared.lagging_load();
        json(&wire::LoadReport { age_ms, load })
    }

    async fn reserve(&self, id: &str, req: http::Request<body::Incoming>) -> RouteResult {
        let call: wire::ReservationRequest = read_json(req).await?;
        self.shared
            .change(|e, now| e.reserve(now, id, call.tokens))?;
        json(&serde_json::json!({}))
    }

    fn release(&self, id: &str) -> RouteResult {
        self.shared.change(|e, now| e.release(now, id));
        json(&serde_json::json!({}))
    }

    fn cache_events(&self, query: Option<&str>) -> RouteResult {
        let since = number_of(query, "since=")?;
        json(&self.shared.cache_events(since))
    }

    async fn export(&self, req: http::Request<body::Incoming>) -> RouteResult {
        let call: wire::ExportRequest = read_json(req).await?;
        let exported = self.shared.read(|e| e.export(&call.id));
        let prefixes = exported.ok_or(refusal::Refusal::NoSuchRequest)?;
        json(&wire::KvHandle::from(&*prefixes))
    }

    async fn import(&self, req: http::Request<body::Incoming>) -> RouteResult {
        let kv: wire::KvHandle = read_json(req).await?;
        let prefixes: Vec<u64> = kv.try_into()?;
        let tokens = self.shared.change(|e, now| e.import(now, &prefixes));
        json(&serde_json::json!({ "tokens": tokens }))
    }

    async fn order(&self, req: http::Request<body::Incoming>) -> RouteResult {
        let call: scheduler::OrderRequest = read_json(req).await?;
        self.shared.change(|e, now| e.order(now, call))?;
        json(&serde_json::json!({}))
    }

    fn faults(&self) -> RouteResult {
        json(&self.shared.read(|e| e.faults().clone()))
    }

    async fn change_faults(&self, req: http::Request<body::Incoming>) -> RouteResult {
        let change: faults::FaultChange = read_json(req).await?;
        self.shared.change(|e, now| e.change_faults(now, &change));
        self.faults()
    }

    fn records(&self) -> RouteResult {
        json(&self.shared.records())
    }
}

fn request_id(req: &http::Request<body::Incoming>) -> Result<String, refusal::Refusal> {
    let value = req.headers().get(REQUEST_ID);
    let text = value.and_then(|v| v.to_str().ok()).map(str::to_owned);
    text.ok_or(refusal::Refusal::BadRequest)
}

/// Returns the identifier of the request that a call from an entry names; empty if none.
fn caller_id(req: &http::Request<body::Incoming>) -> String {
    let parts: Vec<&str> = req.uri().path().split('/').skip(1).collect();
    match parts.as_slice() {
        ["v1", "gang"] => String::new(),
        ["v1", "requests" | "reservations", id, ..] => (*id).to_owned(),
        _ => request_id(req).unwrap_or_default(),
    }
}

fn number_of(query: Option<&str>, prefix: &str) -> Result<u64, refusal::Refusal> {
    let Some(text) = query.and_then(|q| q.strip_prefix(prefix)) else {
        return Ok(0);
    };
    text.parse().map_err(|_| refusal::Refusal::BadRequest)
}

async fn read_json<T: de::DeserializeOwned>(
    req: http::Request<body::Incoming>,
) -> Result<T, refusal::Refusal> {
    let limited = http_body_util::Limited::new(req.into_body(), MAX_BODY_BYTES);
    let collected = limited.collect().await.map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            refusal::Refusal::BodyTooLarge
        } else {
            refusal::Refusal::BadRequest
        }
    })?;
    serde_json::from_slice(&collected.to_bytes()).map_err(|_| refusal::Refusal::BadRequest)
}

fn json<T: Serialize>(value: &T) -> RouteResult {
    let bytes = serde_json::to_vec(value).map_err(|_| refusal::Refusal::BadRequest)?;
    respond("application/json", full(bytes))
}

fn respond(content_type: &'static str, body: Body) -> RouteResult {
    let mut resp = http::Response::new(body);
    let value = http::HeaderValue::from_static(content_type);
    resp.headers_mut().insert(http::header::CONTENT_TYPE, value);
    Ok(resp)
}

fn refuse(refusal: refusal::Refusal) -> Response {
    let report = wire::RefusalReport::from(refusal);
    let bytes = serde_json::to_vec(&report).unwrap_or_default();
    let mut resp = http::Response::new(full(bytes));
    *resp.status_mut() = refusal.status();
    resp
}

fn streamed(chunks: impl futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    let frames = chunks.map_ok(body::Frame::data);
    Body::new(http_body_util::StreamBody::new(frames))
}

fn full(bytes: Vec<u8>) -> Body {
    let body = http_body_util::Full::new(Bytes::from(bytes));
    body.map_err(|never| match never {}).boxed_unsync()
}
