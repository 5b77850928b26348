//! Weight loads in progress, each with its order.
//!
//! A load is recorded in the lease object before its order is sent, so that the next holder knows
//! of it. It ends when a load report of the engine shows what was ordered, not with the response to
//! the order. An order whose response was lost, or that shows no effect, is sent again: orders are
//! declarative.

use std::{collections, time};

use crate::{boundary::backend_server, ids, mutation, process::placement::record};

/// Maximum number of concurrent loads, a limit of the weight store.
pub const MAX_LOADS: usize = 4;
/// Minimum interval between two orders, for the rate limit of the weight store.
pub const ORDER_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval between two reads of an engine that is loading.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time after which an order that shows no effect is sent again.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_secs(30);
/// Timeout of a load.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(600);
/// Timeout of a load that the configuration no longer requires: its result is not needed, but its
/// engine is.
const UNWANTED_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time without a report of the engine after which its load counts as failed.
const SILENT_AFTER: time::Duration = time::Duration::from_secs(60);

/// What a load waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The time of the next read of the engine.
    Waiting(ids::Timestamp),
    /// A load report of the engine.
    Reading,
    /// The response to its order.
    Ordering,
}

/// A load in progress; it counts towards [`MAX_LOADS`].
#[derive(Clone, Debug)]
pub struct ActiveLoad {
    /// Backend server and order.
    pub load: record::WeightLoad,
    /// What it waits for.
    pub stage: Stage,
    /// Number of orders sent for it; one for a load of an earlier holder.
    pub orders: u32,
    begun_at: ids::Timestamp,
    answered_at: ids::Timestamp,
    ordered_at: Option<ids::Timestamp>,
}

/// What to do after a load report of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// End the load: it is done.
    Done,
    /// Send the order.
    Order,
    /// Read the engine again later.
    Wait,
}

/// Loads in progress, and calls with orders that have not ended.
#[derive(Debug, Default)]
pub struct Loads {
    active: collections::BTreeMap<u64, ActiveLoad>,
    calls: collections::BTreeMap<u64, ids::BackendServerId>,
    next_ticket: u64,
    ordered_at: Option<ids::Timestamp>,
}

impl Loads {
    /// Begins a load; `ordered_at` is set for a load of an earlier holder.
    pub fn begin(
        &mut self,
        load: record::WeightLoad,
        ordered_at: Option<ids::Timestamp>,
        now: ids::Timestamp,
    ) {
        self.next_ticket += 1;
        let active = ActiveLoad {
            load,
            stage: Stage::Waiting(now),
            orders: u32::from(ordered_at.is_some()),
            begun_at: now,
            answered_at: now,
            ordered_at,
        };
        self.active.insert(self.next_ticket, active);
    }

    /// Returns whether another load may begin.
    pub fn has_room(&self) -> bool {
        self.active.len() < MAX_LOADS || mutation::on("weight_store_unlimited")
    }

    /// Returns whether the rate limit of the weight store allows an order.
    pub fn may_order(&self, now: ids::Timestamp) -> bool {
        self.ordered_at
            .is_none_or(|at| now.saturating_sub(at) >= ORDER_INTERVAL)
    }

    /// Returns whether a call with an order to a server is pending, even one of an earlier lease.
    pub fn is_calling(&self, server: &str) -> bool {
        self.calls.values().any(|called| called == server)
    }

    /// Returns the loads in the form recorded in the lease object.
    pub fn recorded(&self) -> Vec<record::WeightLoad> {
        self.active
            .values()
            .map(|active| active.load.clone())
            .collect()
    }

    /// Returns a load.
    pub fn get(&self, ticket: u64) -> Option<&ActiveLoad> {
        self.active.get(&ticket)
    }

    /// Returns a load, mutably.
    pub fn get_mut(&mut self, ticket: u64) -> Option<&mut ActiveLoad> {
        self.active.get_mut(&ticket)
    }

    /// Returns the tickets of the loads whose engines must be read now.
    pub fn due(&self, now: ids::Timestamp) -> Vec<u64> {
        let is_due =
            |active: &ActiveLoad| matches!(active.stage, Stage::Waiting(until) if now >= until);
        let due = self.active.iter().filter(|(_, active)| is_due(active));
        due.map(|(ticket, _)| *ticket).collect()
    }

    /// Ends and returns a load.
    pub fn end(&mut self, ticket: u64) -> Option<ActiveLoad> {
        self.active.remove(&ticket)
    }

    /// Removes all loads, but not the calls with orders that have not ended.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Ends and returns the loads for which `is_over` returns true.
    pub fn extract_if(&mut self, is_over: impl Fn(&ActiveLoad) -> bool) -> Vec<ActiveLoad> {
        let expired: Vec<u64> = self
            .active
            .iter()
            .filter(|(_, active)| is_over(active))
            .map(|(ticket, _)| *ticket)
            .collect();
        expired
            .iter()
            .filter_map(|ticket| self.end(*ticket))
            .collect()
    }

    /// Records that the order of a load is sent.
    pub fn order_sent(&mut self, ticket: u64, now: ids::Timestamp) {
        let Some(active) = self.active.get_mut(&ticket) else {
            return;
        };
        active.stage = Stage::Ordering;
        active.ordered_at = Some(now);
        active.orders += 1;
        let server = active.load.server.clone();
        self.ordered_at = Some(now);
        self.calls.insert(ticket, server);
    }

    /// Records that the call with the order of a load ended.
    pub fn on_order_ended(&mut self, ticket: u64, now: ids::Timestamp) {
        self.calls.remove(&ticket);
        let Some(active) = self.active.get_mut(&ticket) else {
            return;
        };
        active.stage = Stage::Waiting(now);
    }
}

impl ActiveLoad {
    /// Returns whether the load took too long, or its engine did not answer for too long.
    ///
    /// `is_required` tells whether the configuration still requires the load on this engine. A load
    /// whose order is being sent never expires.
    pub fn is_expired(&self, is_required: bool, now: ids::Timestamp) -> bool {
        let timeout = match (is_required, self.ordered_at) {
            (true, _) => LOAD_TIMEOUT,
            (false, Some(_)) => UNWANTED_TIMEOUT,
            (false, None) => time::Duration::ZERO,
        };
        let is_silent = now.saturating_sub(self.answered_at) >= SILENT_AFTER;
        let is_late = now.saturating_sub(self.begun_at) >= timeout;
        self.stage != Stage::Ordering && (is_silent || is_late)
    }

    /// Handles a load report of the engine and returns what to do next.
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

    /// Records that the engine could not be read.
    pub fn on_read_failure(&mut self, now: ids::Timestamp) {
        self.stage = Stage::Waiting(now + CHECK_INTERVAL);
    }

    /// Returns whether a report shows what was ordered; false for adapters and roles, which reports
    /// do not contain.
    fn is_done(&self, report: &backend_server::LoadReport) -> bool {
        match &self.load.order {
            backend_server::Order::LoadModel { model, version } => {
                report.models.get(model) == Some(version)
            }
            _ => false,
        }
    }
}
