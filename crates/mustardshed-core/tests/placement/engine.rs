//! Fake model engine.

use std::{collections, time};

use mustardshed_core::{
    boundary::backend_server::{self, Order, Warmth},
    ids,
    process::snapshot,
};

/// Duration of a weight load.
const LOAD_TIME: time::Duration = time::Duration::from_secs(5);

/// A model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub kind: &'static str,
    pub data_centre: &'static str,
    pub checks_fence: bool,
    pub is_alive: bool,
    pub is_leaving: bool,
    pub is_slow: bool,
    pub epoch: ids::Epoch,
    pub models: collections::BTreeMap<String, String>,
    pub used_tokens: ids::Tokens,
    loading: Vec<(String, String, ids::Timestamp)>,
    greatest_fence: u64,
}

impl Engine {
    pub fn new(kind: &'static str, data_centre: &'static str) -> Self {
        Self {
            kind,
            data_centre,
            checks_fence: kind == "k",
            is_alive: true,
            is_leaving: false,
            is_slow: false,
            epoch: 1,
            models: collections::BTreeMap::new(),
            used_tokens: 0,
            loading: Vec::new(),
            greatest_fence: 0,
        }
    }

    pub fn advance(&mut self, now: ids::Timestamp) {
        for (model, version, done_at) in std::mem::take(&mut self.loading) {
            if now >= done_at {
                self.models.insert(model, version);
            } else {
                self.loading.push((model, version, done_at));
            }
        }
    }

    pub fn loads(&self) -> usize {
        self.loading.len()
    }

    pub fn set_alive(&mut self, is_alive: bool) {
        if self.is_alive && !is_alive {
            self.loading.clear();
            self.models.clear();
            self.epoch += 1;
        }
        self.is_alive = is_alive;
    }

    pub fn order(
        &mut self,
        fence: u64,
        order: &Order,
        now: ids::Timestamp,
    ) -> Result<(), backend_server::BackendServerError> {
        if !self.is_alive {
            let reason = "dead".to_owned();
            return Err(backend_server::BackendServerError::Broken(reason));
        }
        if self.checks_fence && fence < self.greatest_fence {
            let reason = "old fencing number".to_owned();
            return Err(backend_server::BackendServerError::Refused(reason));
        }
        self.greatest_fence = self.greatest_fence.max(fence);
        if let Order::LoadModel { model, version } = order {
            let is_loading = self.loading.iter().any(|load| load.0 == *model);
            if !is_loading && self.models.get(model) != Some(version) {
                self.loading
                    .push((model.clone(), version.clone(), now + LOAD_TIME));
            }
        }
        Ok(())
    }

    pub fn report(&self) -> Result<backend_server::LoadReport, backend_server::BackendServerError> {
        if !self.is_alive {
            let reason = "dead".to_owned();
            return Err(backend_server::BackendServerError::Unreachable(reason));
        }
        Ok(backend_server::LoadReport {
            epoch: self.epoch,
            warmth: Warmth::Warm,
            leaving: self.is_leaving,
            age: time::Duration::from_millis(100),
            memory_tokens: 1000,
            used_tokens: self.used_tokens,
            queued_prefill_tokens: 0,
            running: 0,
            models: self.models.clone(),
            held: Vec::new(),
        })
    }

    pub fn view(&self, id: &str, now: ids::Timestamp) -> snapshot::ServerView {
        snapshot::ServerView {
            id: id.to_owned(),
            address: id.to_owned(),
            kind: self.kind.to_owned(),
            data_centre: self.data_centre.to_owned(),
            warmth: Warmth::Warm,
            epoch: self.epoch,
            reachable: self.is_alive,
            leaving: self.is_leaving,
            models: self.models.clone(),
            memory_tokens: 1000,
            used_tokens: self.used_tokens,
            queued_prefill_tokens: 0,
            running: 0,
            prefill_tokens_per_second: 0.0,
            reported_at: now,
            steward: None,
        }
    }
}
