//! Events that the caller of placement reports to it.

use std::sync;

use crate::{
    boundary::{backend_server, platform},
    ids,
    process::{placement::record, snapshot},
};

/// Outcome of the call that sent an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The order was not sent, since it was too late.
    TooLate,
    /// The call failed.
    Failed(backend_server::BackendServerError),
}

/// An event that the caller of placement reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; at least every [`super::TICK`].
    Tick(sync::Arc<snapshot::Snapshot>),
    /// A read of the lease object ended.
    LeaseRead {
        /// Version and content; `None` if the object does not exist.
        result: Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError>,
    },
    /// A write of the lease object ended.
    LeaseWritten {
        /// Nonce of the write.
        nonce: u64,
        /// New version of the object.
        result: Result<ids::ObjectVersion, platform::PlatformError>,
    },
    /// A read of an engine's load report ended.
    EngineRead {
        /// Identifier of the weight load that it is for.
        ticket: u64,
        /// Time at which the call began.
        begun_at: ids::Timestamp,
        /// The load report.
        result: Result<backend_server::LoadReport, backend_server::BackendServerError>,
    },
    /// The call that sent an order ended.
    Ordered {
        /// Identifier of the weight load that it is for.
        ticket: u64,
        /// Its outcome.
        outcome: OrderOutcome,
    },
}
