//! Weight loads in progress, each with its order.
//!
//! A load is recorded in the lease object before its order is sent, so that the next holder knows
//! of it. It ends when a report of the engine shows what was ordered, not with the answer to the
//! order. An order whose answer was lost, or that shows no effect, is given again: orders are
//! declarative.

use std::{collections, time};

use crate::{boundary::backend_server, ids, mutation, process::placement::record};

/// Greatest number of concurrent loads, a limit of the weight store.
pub const MAX_LOADS: usize = 4;
/// Least time between two orders, for the rate limit of the weight store.
pub const ORDER_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Wait between two reads of an engine that loads.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time after which an order that shows no effect is given again.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Longest time of a load.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(600);
/// Longest time of a load that the text does not want any more: nobody waits for it, and its engine
/// is needed.
const UNWANTED_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time without an answer of the engine after which its load counts as broken off.
const SILENT_AFTER: time::Duration = time::Duration::from_secs(60);

/// What a load waits for now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// For the time of the next read of the engine.
    Waiting(ids::Timestamp),
    /// For a report of the engine.
    Reading,
    /// For the answer to its order.
    Ordering,
}

/// A load in progress; each takes one of the places that the weight store allows.
#[derive(Clone, Debug)]
pub struct ActiveLoad {
    /// What is loaded where.
    pub load: record::WeightLoad,
    /// What it waits for.
    pub stage: Stage,
    /// Orders given for it, as far as is known.
    pub orders: u32,
    begun_at: ids::Timestamp,
    answered_at: ids::Timestamp,
    ordered_at: Option<ids::Timestamp>,
}

/// What follows from a report of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// The load is done.
    Done,
    /// The order is to be given.
    Order,
    /// The engine is to be read again later.
    Wait,
}

/// Loads in progress, and the calls of orders that have not ended.
#[derive(Debug, Default)]
pub struct Loads {
    active: collections::BTreeMap<u64, ActiveLoad>,
    calls: collections::BTreeMap<u64, ids::BackendServerId>,
    next_ticket: u64,
    ordered_at: Option<ids::Timestamp>,
}

impl Loads {
    /// Begins a load; `ordered_at` is set for one of an earlier holder.
    pub fn begin(
        &mut self,
        load: record::WeightLoad,
        ordered_at: Option<ids::Timestamp>,
        now: ids::Timestamp,
    ) {
        self.next_ticket += 1;
        let slot = ActiveLoad {
            load,
            stage: Stage::Waiting(now),
            orders: u32::from(ordered_at.is_some()),
            begun_at: now,
            answered_at: now,
            ordered_at,
        };
        self.active.insert(self.next_ticket, slot);
    }

    /// Returns whether another load may begin.
    pub fn has_room(&self) -> bool {
        self.active.len() < MAX_LOADS || mutation::on("weight_store_unlimited")
    }

    /// Returns whether the rate of the weight store allows an order.
    pub fn may_order(&self, now: ids::Timestamp) -> bool {
        self.ordered_at
            .is_none_or(|at| now.saturating_sub(at) >= ORDER_INTERVAL)
    }

    /// Returns whether the call of an order to a server has not ended, be it of an earlier lease.
    pub fn is_calling(&self, server: &str) -> bool {
        self.calls.values().any(|called| called == server)
    }

    /// Returns the loads as they are recorded.
    pub fn recorded(&self) -> Vec<record::WeightLoad> {
        self.active.values().map(|slot| slot.load.clone()).collect()
    }

    /// Returns a load.
    pub fn get(&self, ticket: u64) -> Option<&ActiveLoad> {
        self.active.get(&ticket)
    }

    /// Returns a load, to be changed.
    pub fn get_mut(&mut self, ticket: u64) -> Option<&mut ActiveLoad> {
        self.active.get_mut(&ticket)
    }

    /// Returns the loads whose engines are to be read now.
    pub fn due(&self, now: ids::Timestamp) -> Vec<u64> {
        let is_due =
            |slot: &ActiveLoad| matches!(slot.stage, Stage::Waiting(until) if now >= until);
        let due = self.active.iter().filter(|(_, slot)| is_due(slot));
        due.map(|(ticket, _)| *ticket).collect()
    }

    /// Ends a load.
    pub fn end(&mut self, ticket: u64) -> Option<ActiveLoad> {
        self.active.remove(&ticket)
    }

    /// Forgets all loads, but not the calls of orders that have not ended.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Ends the loads for which `is_over` says so, and returns them.
    pub fn extract_if(&mut self, is_over: impl Fn(&ActiveLoad) -> bool) -> Vec<ActiveLoad> {
        let over: Vec<u64> = self
            .active
            .iter()
            .filter(|(_, slot)| is_over(slot))
            .map(|(ticket, _)| *ticket)
            .collect();
        over.iter().filter_map(|ticket| self.end(*ticket)).collect()
    }

    /// Notes that an order is given.
    pub fn order_sent(&mut self, ticket: u64, now: ids::Timestamp) {
        let Some(slot) = self.active.get_mut(&ticket) else {
            return;
        };
        slot.stage = Stage::Ordering;
        slot.ordered_at = Some(now);
        slot.orders += 1;
        let server = slot.load.server.clone();
        self.ordered_at = Some(now);
        self.calls.insert(ticket, server);
    }

    /// Notes that the call of an order ended.
    pub fn on_order_ended(&mut self, ticket: u64, now: ids::Timestamp) {
        self.calls.remove(&ticket);
        let Some(slot) = self.active.get_mut(&ticket) else {
            return;
        };
        slot.stage = Stage::Waiting(now);
    }
}

impl ActiveLoad {
    /// Returns whether the load took too long, or its engine did not answer for too long.
    ///
    /// `is_wanted` says whether the text still wants it there. A load whose order is being sent
    /// is never over.
    pub fn is_expired(&self, is_wanted: bool, now: ids::Timestamp) -> bool {
        let timeout = match (is_wanted, self.ordered_at) {
            (true, _) => LOAD_TIMEOUT,
            (false, Some(_)) => UNWANTED_TIMEOUT,
            (false, None) => time::Duration::ZERO,
        };
        let is_silent = now.saturating_sub(self.answered_at) >= SILENT_AFTER;
        let is_late = now.saturating_sub(self.begun_at) >= timeout;
        self.stage != Stage::Ordering && (is_silent || is_late)
    }

    /// Takes a report of the engine and returns what follows.
    pub fn on_report(&mut self, report: &backend_server::LoadReport, now: ids::Timestamp) -> Next {
        self.answered_at = now;
        self.stage = Stage::Waiting(now + CHECK_INTERVAL);
        if self.is_done(report) {
            return Next::Done;
        }
        let is_due = |at| now.saturating_sub(at) >= REPEAT_INTERVAL;
        if self.ordered_at.is_none_or(is_due) {
            Next::Order
        } else {
            Next::Wait
        }
    }

    /// Notes that the engine could not be read.
    pub fn on_read_failure(&mut self, now: ids::Timestamp) {
        self.stage = Stage::Waiting(now + CHECK_INTERVAL);
    }

    /// Returns whether a report shows what was ordered; adapters and roles are in no report.
    fn is_done(&self, report: &backend_server::LoadReport) -> bool {
        match &self.load.order {
            backend_server::Order::LoadModel { model, version } => {
                report.models.get(model) == Some(version)
            }
            _ => false,
        }
    }
}
