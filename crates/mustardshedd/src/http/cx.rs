//! What all connections of the listener share.

use std::sync;

use mustardshed::core::ids;

use crate::{
    http::{limits, operator},
    request::cx,
};

/// What all connections of the listener share.
#[derive(Debug)]
pub struct Cx {
    /// What all requests share.
    pub requests: sync::Arc<cx::Cx>,
    /// Operators' calls.
    pub operator: sync::Arc<dyn operator::Operator>,
    /// Limits of the listener.
    pub limits: limits::Limits,
    /// When the listener opened.
    pub opened_at: ids::Timestamp,
}

impl Cx {
    /// Makes the shared state around that of the requests.
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
