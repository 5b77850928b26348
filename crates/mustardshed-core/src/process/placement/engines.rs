//! Engines in the view of placement.

use std::{collections, time};

use crate::{boundary::backend_server, ids, mutation, process::snapshot};

/// Time after its last report at which an unreachable engine is removed.
const GONE_AFTER: time::Duration = time::Duration::from_secs(10);

/// An engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Name.
    pub id: ids::BackendServerId,
    /// `IP:PORT`.
    pub address: String,
    /// Engine kind.
    pub kind: String,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Whether it is warm.
    pub is_warm: bool,
    /// Epoch: number of its warm period.
    pub epoch: ids::Epoch,
    /// Loaded models, each with its version.
    pub models: collections::BTreeMap<ids::ModelId, String>,
    /// KV memory, in tokens.
    pub memory_tokens: ids::Tokens,
    /// KV memory in use plus prompt tokens that wait for prefill.
    pub busy_tokens: ids::Tokens,
    /// Whether it is reachable.
    pub is_reachable: bool,
    /// Time at which it was last reachable.
    pub answered_at: ids::Timestamp,
}

impl Engine {
    /// Returns whether it has loaded this version of a model.
    pub fn holds(&self, model: &str, version: &str) -> bool {
        self.models.get(model).is_some_and(|held| held == version)
    }

    fn new(view: &snapshot::ServerView, now: ids::Timestamp) -> Self {
        Self {
            id: view.id.clone(),
            address: view.address.clone(),
            kind: view.kind.clone(),
            data_centre: view.data_centre.clone(),
            is_warm: view.warmth == backend_server::Warmth::Warm,
            epoch: view.epoch,
            models: view.models.clone(),
            memory_tokens: view.memory_tokens,
            busy_tokens: view.used_tokens.saturating_add(view.queued_prefill_tokens),
            is_reachable: true,
            answered_at: now,
        }
    }
}

/// Engines that are not leaving, in data centres that are in service.
#[derive(Debug, Default)]
pub struct Engines {
    engines: collections::BTreeMap<ids::BackendServerId, Engine>,
}

impl Engines {
    /// Applies a snapshot; an unreachable engine keeps its last state for `GONE_AFTER`.
    pub fn update(&mut self, snapshot: &snapshot::Snapshot, now: ids::Timestamp) {
        let engines = &mut self.engines;
        engines.retain(|id, _| {
            let view = snapshot.servers.get(id);
            view.is_some_and(|view| is_eligible(snapshot, view))
        });
        for view in snapshot.servers.values() {
            if !is_eligible(snapshot, view) {
                continue;
            }
            if view.reachable {
                engines.insert(view.id.clone(), Engine::new(view, now));
            } else if let Some(engine) = engines.get_mut(&view.id) {
                engine.is_reachable = false;
            }
        }
        engines.retain(|_, engine| now.saturating_sub(engine.answered_at) < GONE_AFTER);
    }

    /// Returns an engine.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Returns the engines of a kind.
    pub fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Engine> + Clone {
        self.engines
            .values()
            .filter(move |engine| engine.kind == kind)
    }
}

/// Returns whether a server is an engine that is not leaving, in a data centre that is in service.
fn is_eligible(snapshot: &snapshot::Snapshot, view: &snapshot::ServerView) -> bool {
    let is_engine = snapshot.text.engine_kinds.contains_key(&view.kind);
    let is_out = snapshot.data_centres_out.contains(&view.data_centre)
        && !mutation::on("placement_ignores_out");
    is_engine && !view.leaving && !is_out
}
