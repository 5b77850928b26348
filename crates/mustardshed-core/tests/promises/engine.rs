//! Fake of a model engine: limited memory, a cold start in which it fails under too much work, and
//! load reports that lag.

use std::{collections, time};

use mustardshed_core::{boundary::backend_server, ids};

use super::fleet::{COLD_LIMIT, MAX_RUNNING, MEMORY_TOKENS, WARM_AFTER};

/// Interval at which an engine refreshes its load report.
const PUBLISH_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Work that an engine holds memory for.
#[derive(Clone, Debug)]
pub struct Work {
    pub tokens: ids::Tokens,
    pub is_reservation: bool,
}

/// Result of the arrival of work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arrival {
    Accepted,
    Refused,
    FellOver,
}

/// One model engine.
#[derive(Debug)]
pub struct Engine {
    pub address: String,
    pub data_centre: String,
    pub is_dead: bool,
    pub leaving_since: Option<ids::Timestamp>,
    pub epoch: ids::Epoch,
    pub is_cold: bool,
    /// Time at which it turned cold without notice; `None` if it only was cold from its start.
    pub turned_cold_at: Option<ids::Timestamp>,
    pub held: collections::BTreeMap<ids::RequestId, Work>,
    finished: u32,
    published: Option<(ids::Timestamp, backend_server::LoadReport)>,
}

impl Engine {
    pub fn new(address: String, data_centre: String, is_cold: bool) -> Self {
        Self {
            address,
            data_centre,
            is_dead: false,
            leaving_since: None,
            epoch: 1,
            is_cold,
            turned_cold_at: None,
            held: collections::BTreeMap::new(),
            finished: 0,
            published: None,
        }
    }

    /// Accepts work, refuses it, or falls over under it.
    pub fn arrive(&mut self, request: &str, work: Work, now: ids::Timestamp) -> Arrival {
        let used: u64 = self.held.values().map(|work| work.tokens).sum();
        if self.leaving_since.is_some() || used + work.tokens > MEMORY_TOKENS {
            return Arrival::Refused;
        }
        let running = self.held.len() as u32;
        if self.is_cold && running >= COLD_LIMIT {
            self.restart(now);
            return Arrival::FellOver;
        }
        if running >= MAX_RUNNING {
            return Arrival::Refused;
        }
        self.held.insert(request.to_owned(), work);
        Arrival::Accepted
    }

    /// Ends work; returns whether it was there.
    pub fn end(&mut self, request: &str) -> bool {
        let was_held = self.held.remove(request).is_some();
        if was_held {
            self.finished += 1;
            self.is_cold &= self.finished < WARM_AFTER;
        }
        was_held
    }

    /// Restarts without notice: loses all work, which is returned, and is cold, with a new epoch.
    pub fn restart(&mut self, now: ids::Timestamp) -> Vec<ids::RequestId> {
        self.turned_cold_at = Some(now);
        self.is_cold = true;
        self.epoch += 1;
        self.finished = 0;
        let lost = std::mem::take(&mut self.held);
        lost.into_keys().collect()
    }

    /// Returns the latest load report, which may be up to [`PUBLISH_INTERVAL`] old.
    pub fn load(
        &mut self,
        now: ids::Timestamp,
    ) -> Result<backend_server::LoadReport, backend_server::BackendServerError> {
        if self.is_dead {
            let reason = "dead".to_owned();
            return Err(backend_server::BackendServerError::Unreachable(reason));
        }
        let is_due = self
            .published
            .as_ref()
            .is_none_or(|(at, _)| now >= *at + PUBLISH_INTERVAL);
        if is_due {
            self.published = Some((now, self.figures()));
        }
        let (at, report) = self.published.clone().unwrap_or((now, self.figures()));
        Ok(backend_server::LoadReport {
            age: now - at,
            ..report
        })
    }

    fn figures(&self) -> backend_server::LoadReport {
        let held = self
            .held
            .iter()
            .map(|(id, work)| backend_server::HeldRequest {
                id: id.clone(),
                tokens: work.tokens,
                reservation: work.is_reservation,
            });
        backend_server::LoadReport {
            epoch: self.epoch,
            warmth: if self.is_cold {
                backend_server::Warmth::Cold
            } else {
                backend_server::Warmth::Warm
            },
            leaving: self.leaving_since.is_some(),
            age: time::Duration::ZERO,
            memory_tokens: MEMORY_TOKENS,
            used_tokens: self.held.values().map(|work| work.tokens).sum(),
            queued_prefill_tokens: 0,
            running: self.held.len() as u32,
            models: collections::BTreeMap::from([("m".to_owned(), "1".to_owned())]),
            held: held.collect(),
        }
    }
}
