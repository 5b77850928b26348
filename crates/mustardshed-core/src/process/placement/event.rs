//! Events that placement handles.

use std::sync;

use crate::{
    boundary::{backend_server, platform},
    ids,
    process::{placement::record, snapshot},
};

/// How the call of an order ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine accepted it.
    Accepted,
    /// It was not sent, since its time had passed.
    TooLate,
    /// The call failed.
    Failed(backend_server::BackendServerError),
}

/// What the caller of placement tells it.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time went on; at least every [`super::TICK`].
    Tick(sync::Arc<snapshot::Snapshot>),
    /// A read of the lease object ended.
    LeaseRead {
        /// Version and content, if there is an object.
        result: Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError>,
    },
    /// A write of the lease object ended.
    LeaseWritten {
        /// Number of the write.
        nonce: u64,
        /// New version.
        result: Result<ids::ObjectVersion, platform::PlatformError>,
    },
    /// A read of an engine's load report ended.
    EngineRead {
        /// Number of the weight load that it is for.
        ticket: u64,
        /// Time at which the call began.
        begun_at: ids::Timestamp,
        /// The report.
        result: Result<backend_server::LoadReport, backend_server::BackendServerError>,
    },
    /// The call of an order ended.
    Ordered {
        /// Number of the weight load that it is for.
        ticket: u64,
        /// How it ended.
        outcome: OrderOutcome,
    },
}
