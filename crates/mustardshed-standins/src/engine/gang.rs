//! Gangs: several engines that prefill one prompt together.
//!
//! The engine that receives the request is the leader. It has each other engine prefill an equal
//! shard (`POST /v1/gang`) and keeps that response open: its first bytes say that the shard is
//! prefilled, and its end that the engine lost it. An engine drops its shard when the leader
//! closes the connection.

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
/// Gangs that may wait to be monitored.
const MAX_WAITING: usize = 64;

type HttpClient = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<Bytes>>;

/// Shard of a prompt that an engine is to prefill.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ShardRequest {
    pub(super) prefill_tokens: u64,
    pub(super) priority: u32,
}

/// Open responses of the engines that have begun their shards.
pub(super) type Shards = Vec<body::Incoming>;

/// A gang whose request is running.
#[derive(Debug)]
struct Gang {
    handle: job::Handle,
    shards: Shards,
}

/// Slot reserved for a gang that is about to start.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    permit: mpsc::Permit<'a, Gang>,
}

impl Slot<'_> {
    /// Has a gang monitored until its request ends.
    pub(super) fn watch(self, handle: job::Handle, shards: Shards) {
        self.permit.send(Gang { handle, shards });
    }
}

/// Leads gangs; clones lead for the same engine.
#[derive(Clone, Debug)]
pub(super) struct Leader {
    http: HttpClient,
    gangs: mpsc::Sender<Gang>,
}

/// Returns a leader and the future that monitors its gangs, to be spawned as a task.
pub(super) fn open(shared: sync::Arc<shared::Shared>) -> (Leader, impl Future<Output = ()>) {
    let (tx, rx) = mpsc::channel(MAX_WAITING);
    let http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    (Leader { http, gangs: tx }, watch_all(shared, rx))
}

impl Leader {
    /// Asks every engine to begin its shard.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::GangIncomplete`] if one doesn't; the shards of all others are dropped.
    pub(super) async fn begin(
        &self,
        id: &str,
        members: &[String],
        shard: &ShardRequest,
    ) -> Result<Shards, refusal::Refusal> {
        let calls = members.iter().map(|address| self.ask(id, address, shard));
        let shards = future::try_join_all(calls).await;
        shards.map_err(|_| refusal::Refusal::GangIncomplete)
    }

    /// Waits for a free slot, to be reserved before the gang's request starts.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::GangIncomplete`] if the engine shuts down.
    pub(super) async fn slot(&self) -> Result<Slot<'_>, refusal::Refusal> {
        let permit = self.gangs.reserve().await;
        let permit = permit.map_err(|_| refusal::Refusal::GangIncomplete)?;
        Ok(Slot { permit })
    }

    async fn ask(
        &self,
        id: &str,
        address: &str,
        shard: &ShardRequest,
    ) -> io::Result<body::Incoming> {
        let bytes = serde_json::to_vec(shard)?;
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

async fn watch_all(shared: sync::Arc<shared::Shared>, mut rx: mpsc::Receiver<Gang>) {
    let mut gangs = task::JoinSet::new();
    while let Some(gang) = rx.recv().await {
        gangs.spawn(watch_one(sync::Arc::clone(&shared), gang));
        while gangs.try_join_next().is_some() {}
    }
}

async fn watch_one(shared: sync::Arc<shared::Shared>, mut gang: Gang) {
    let mut shards = task::JoinSet::new();
    for shard in gang.shards {
        let id = gang.handle.id.clone();
        shards.spawn(watch_shard(sync::Arc::clone(&shared), id, shard));
    }
    // The sender is dropped only together with the request.
    drop(gang.handle.progress.wait_for(|p| p.end.is_some()).await);
}

async fn watch_shard(shared: sync::Arc<shared::Shared>, id: String, mut shard: body::Incoming) {
    if matches!(shard.frame().await, Some(Ok(_))) {
        shared.change(|e, now| e.member_prefilled(now, &id));
    }
    while matches!(shard.frame().await, Some(Ok(_))) {}
    shared.change(|e, now| e.break_off(now, &id));
}

/// Shard that this engine prefills for a leader; dropping it cancels the shard.
struct Shard {
    shared: sync::Arc<shared::Shared>,
    handle: job::Handle,
    prefilled: bool,
}

impl Drop for Shard {
    fn drop(&mut self) {
        let id = &self.handle.id;
        self.shared.change(|e, now| e.leave(now, id));
    }
}

/// Returns the response body that reports the progress of a shard to the leader.
pub(super) fn shard_events(
    shared: sync::Arc<shared::Shared>,
    handle: job::Handle,
) -> impl stream::Stream<Item = io::Result<Bytes>> + Send {
    let shard = Shard {
        shared,
        handle,
        prefilled: false,
    };
    stream::unfold(shard, |mut shard| async move {
        let reported = shard.prefilled;
        let changed = |p: &progress::Progress| p.end.is_some() || (p.prefilled && !reported);
        let progress = *shard.handle.progress.wait_for(changed).await.ok()?;
        if progress.end.is_some() {
            return None;
        }
        shard.prefilled = true;
        Some((Ok(Bytes::from_static(PREFILLED)), shard))
    })
}
