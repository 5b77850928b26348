//! Work of several engines on one prompt.
//!
//! The engine that is addressed leads. It has each other engine prefill an equal part
//! (`POST /v1/gang`) and holds that answer open: its first bytes say that the part is
//! prefilled, and its end that the engine lost it. An engine drops its part when the
//! leader closes the connection.

use std::{io, sync};

use bytes::Bytes;
use futures_util::{future, stream};
use http_body_util::BodyExt;
use hyper::body;
use hyper_util::{client::legacy, rt};
use serde::{Deserialize, Serialize};
use tokio::{sync::mpsc, task};

use crate::engine::{job, progress, refusal, shared};

const REQUEST_ID: &str = "x-request-id";
const PREFILLED: &[u8] = b"prefilled\n";
/// Gangs that may wait to be followed.
const MAX_WAITING: usize = 64;

type HttpClient = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// Part of a prompt that an engine is to prefill.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct PartRequest {
    pub(super) prefill_tokens: u64,
    pub(super) priority: u32,
}

/// Engines that have begun their parts.
pub(super) type Parts = Vec<body::Incoming>;

/// A gang whose request runs.
#[derive(Debug)]
struct Gang {
    handle: job::Handle,
    parts: Parts,
}

/// Room for a gang that is about to start.
#[derive(Debug)]
pub(super) struct Room<'a> {
    permit: mpsc::Permit<'a, Gang>,
}

impl Room<'_> {
    /// Has a gang followed until its request ends.
    pub(super) fn follow(self, handle: job::Handle, parts: Parts) {
        self.permit.send(Gang { handle, parts });
    }
}

/// Leads gangs; clones lead for the same engine.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    http: HttpClient,
    gangs: mpsc::Sender<Gang>,
}

/// Returns a leader and what follows its gangs, to be run as a task.
pub(super) fn open(shared: sync::Arc<shared::Shared>) -> (Leader, impl Future<Output = ()>) {
    let (tx, rx) = mpsc::channel(MAX_WAITING);
    let http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    (Leader { http, gangs: tx }, follow_all(shared, rx))
}

impl Leader {
    /// Has every engine begin its part.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::GangIncomplete`] if one does not; the parts of all others are dropped.
    pub(super) async fn begin(
        &self,
        id: &str,
        members: &[String],
        part: &PartRequest,
    ) -> Result<Parts, refusal::Refusal> {
        let calls = members.iter().map(|address| self.ask(id, address, part));
        let parts = future::try_join_all(calls).await;
        parts.map_err(|_| refusal::Refusal::GangIncomplete)
    }

    /// Waits for room for one more gang, to be taken before its request starts.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::GangIncomplete`] if the engine ends.
    pub(super) async fn room(&self) -> Result<Room<'_>, refusal::Refusal> {
        let permit = self.gangs.reserve().await;
        let permit = permit.map_err(|_| refusal::Refusal::GangIncomplete)?;
        Ok(Room { permit })
    }

    async fn ask(&self, id: &str, address: &str, part: &PartRequest) -> io::Result<body::Incoming> {
        let bytes = serde_json::to_vec(part)?;
        let req = http::Request::post(format!("http://{address}/v1/gang"))
            .header(REQUEST_ID, id)
            .body(http_body_util::Full::from(bytes))
            .map_err(io::Error::other)?;
        let resp = self.http.request(req).await.map_err(io::Error::other)?;
        match resp.status() {
            http::StatusCode::OK => Ok(resp.into_body()),
            status => Err(io::Error::other(status.to_string())),
        }
    }
}

async fn follow_all(shared: sync::Arc<shared::Shared>, mut rx: mpsc::Receiver<Gang>) {
    let mut gangs = task::JoinSet::new();
    while let Some(gang) = rx.recv().await {
        gangs.spawn(follow_one(sync::Arc::clone(&shared), gang));
        while gangs.try_join_next().is_some() {}
    }
}

async fn follow_one(shared: sync::Arc<shared::Shared>, mut gang: Gang) {
    let mut parts = task::JoinSet::new();
    for part in gang.parts {
        let id = gang.handle.id.clone();
        parts.spawn(follow_part(sync::Arc::clone(&shared), id, part));
    }
    // The sender is gone only when the request is.
    drop(gang.handle.progress.wait_for(|p| p.end.is_some()).await);
}

async fn follow_part(shared: sync::Arc<shared::Shared>, id: String, mut part: body::Incoming) {
    if matches!(part.frame().await, Some(Ok(_))) {
        shared.change(|e, now| e.member_prefilled(now, &id));
    }
    while matches!(part.frame().await, Some(Ok(_))) {}
    shared.change(|e, now| e.break_off(now, &id));
}

/// Part that this engine prefills for another; dropping it ends the part.
struct Part {
    shared: sync::Arc<shared::Shared>,
    handle: job::Handle,
    prefilled: bool,
}

impl Drop for Part {
    fn drop(&mut self) {
        let id = &self.handle.id;
        self.shared.change(|e, now| e.leave(now, id));
    }
}

/// Returns the body with which an engine tells the leader of its part.
pub(super) fn part_events(
    shared: sync::Arc<shared::Shared>,
    handle: job::Handle,
) -> impl stream::Stream<Item = io::Result<Bytes>> + Send {
    let part = Part {
        shared,
        handle,
        prefilled: false,
    };
    stream::unfold(part, |mut part| async move {
        let reported = part.prefilled;
        let changed = |p: &progress::Progress| p.end.is_some() || (p.prefilled && !reported);
        let progress = *part.handle.progress.wait_for(changed).await.ok()?;
        if progress.end.is_some() {
            return None;
        }
        part.prefilled = true;
        Some((Ok(Bytes::from_static(PREFILLED)), part))
    })
}
