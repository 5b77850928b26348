//! What all connections of the listener share.

use std::sync;

use mustardshed::core::border::{backend_server, clock, control};

use crate::{
    http::{limits, operator},
    log::metrics,
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
}

impl Cx {
    /// Makes the shared state; `seed` starts the random draws of routing.
    pub fn new(
        control: sync::Arc<dyn control::Control>,
        servers: sync::Arc<dyn backend_server::BackendServer>,
        clock: sync::Arc<dyn clock::Clock>,
        operator: sync::Arc<dyn operator::Operator>,
        metrics: metrics::Metrics,
        limits: limits::Limits,
        seed: u64,
    ) -> Self {
        Self {
            requests: sync::Arc::new(cx::Cx::new(
                control,
                servers,
                clock,
                metrics,
                limits.max_in_flight,
                seed,
            )),
            operator,
            limits,
        }
    }
}
