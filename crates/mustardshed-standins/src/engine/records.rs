//! Records of what an engine did, for tests.

use std::{collections, sync, sync::atomic};

use serde::Serialize;

use crate::engine::refusal;

/// Records kept of each kind; older ones are dropped.
const MAX_RECORDS: usize = 65_536;

/// Record of one request that reached the engine.
#[derive(Clone, Debug, Serialize)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub id: String,
    /// Time of arrival in milliseconds of the engine's clock.
    pub at_ms: u64,
    /// Prompt and longest output, in tokens.
    pub tokens: u64,
    /// Whether the engine was cold.
    pub cold: bool,
    /// Why it was refused; `None` if it was admitted.
    pub refused: Option<refusal::Refusal>,
    /// How it ended; `running` until then.
    pub outcome: &'static str,
    /// Index after the last token that was written to a stream.
    pub sent_tokens: sync::Arc<atomic::AtomicU64>,
}

/// Record of one order.
#[derive(Clone, Debug, Serialize)]
pub struct OrderRecord {
    /// Time of arrival in milliseconds of the engine's clock.
    pub at_ms: u64,
    /// Fencing number.
    pub fence: u64,
    /// Order as it was received.
    pub order: serde_json::Value,
    /// Whether it was applied.
    pub accepted: bool,
}

/// Records of an engine.
#[derive(Clone, Debug, Default)]
pub struct Records {
    first: u64,
    requests: collections::VecDeque<RequestRecord>,
    orders: collections::VecDeque<OrderRecord>,
    /// How often the engine crashed under load while cold.
    pub fell_over: u64,
    /// Most requests at once while it was cold.
    pub max_running_cold: usize,
}

impl Records {
    /// Adds a request and returns its number.
    pub fn add_request(&mut self, record: RequestRecord) -> u64 {
        if self.requests.len() == MAX_RECORDS {
            self.requests.pop_front();
            self.first += 1;
        }
        self.requests.push_back(record);
        self.first + self.requests.len() as u64 - 1
    }

    /// Records how a request ended.
    pub fn end_request(&mut self, number: u64, outcome: &'static str) {
        let index = number.checked_sub(self.first);
        let record = index.and_then(|i| self.requests.get_mut(i as usize));
        if let Some(record) = record {
            record.outcome = outcome;
        }
    }

    /// Records that a request was refused.
    pub fn refuse_request(&mut self, number: u64, refusal: refusal::Refusal) {
        let index = number.checked_sub(self.first);
        let record = index.and_then(|i| self.requests.get_mut(i as usize));
        if let Some(record) = record {
            record.refused = Some(refusal);
            record.outcome = "refused";
        }
    }

    /// Adds an order.
    pub fn add_order(&mut self, record: OrderRecord) {
        if self.orders.len() == MAX_RECORDS {
            self.orders.pop_front();
        }
        self.orders.push_back(record);
    }

    /// Returns the requests, the oldest first.
    pub const fn requests(&self) -> &collections::VecDeque<RequestRecord> {
        &self.requests
    }

    /// Returns the orders, the oldest first.
    pub const fn orders(&self) -> &collections::VecDeque<OrderRecord> {
        &self.orders
    }
}
