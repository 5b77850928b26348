//! State shared by all connections of the listener.

use std::sync;

use mustardshed::core::ids;

use crate::{
    http::{limits, operator},
    request::cx,
};

/// State shared by all connections of the listener.
#[derive(Debug)]
pub struct Cx {
    /// State shared by all requests.
    pub requests: sync::Arc<cx::Cx>,
    /// Handler of operators' calls.
    pub operator: sync::Arc<dyn operator::Operator>,
    /// Limits of the listener.
    pub limits: limits::Limits,
    /// When the listener opened.
    pub opened_at: ids::Timestamp,
}

impl Cx {
    /// Creates the shared state; the listener counts as opened now.
    pub fn new(
        requests: cx::Cx,
        operator: sync::Arc<dyn operator::Operator>,
        limits: limits::Limits,
    ) -> Self {
        Self {
            opened_at: requests.clock.now(),
            requests: sync::Arc::new(requests),
            operator,
            limits,
        }
    }
}
