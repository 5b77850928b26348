//! Events that a node handles.

use crate::{
    boundary::{backend_server, control, platform},
    ids,
    process::message,
    request::fate,
    version::record,
};

/// An event that a [`super::node::Node`] handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed; sent at least every [`super::node::TICK`].
    Tick,
    /// A peer sent a message; its hello named this VM and incarnation.
    Peer {
        /// Sender's VM.
        vm: ids::VmId,
        /// Sender's incarnation.
        incarnation: ids::Incarnation,
        /// Message.
        message: message::Message,
    },
    /// A read or watch of the configuration ended.
    ConfigurationRead {
        /// Time at which the call began.
        begun_at: ids::Timestamp,
        /// Object version and record; `None` if no configuration was written yet.
        result: Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError>,
    },
    /// A read of the platform's VM list ended.
    VmsRead {
        /// The list.
        result: Result<Vec<platform::Vm>, platform::PlatformError>,
    },
    /// A read of a backend server's load ended.
    LoadRead {
        /// Backend server.
        server: ids::BackendServerId,
        /// Time at which the call began.
        begun_at: ids::Timestamp,
        /// The report.
        result: Result<backend_server::LoadReport, backend_server::BackendServerError>,
    },
    /// The traffic threads report how many requests they carry.
    InFlight {
        /// Requests in flight.
        in_flight: usize,
        /// Requests that may be in flight at once.
        max_in_flight: usize,
    },
    /// A traffic thread requests a credit.
    Acquire {
        /// Matches the answer to this request.
        ticket: u64,
        /// The request.
        req: control::CreditRequest,
    },
    /// A traffic thread releases a credit.
    Release {
        /// The credit.
        credit: control::Credit,
        /// How the work went.
        feedback: control::Feedback,
    },
    /// An operator announces a configuration before it is written to the platform.
    Intent {
        /// Matches the answer to this intent.
        ticket: u64,
        /// The record.
        record: record::Record,
    },
    /// An operator reports that the platform accepted a configuration.
    Commit {
        /// Matches the answer to this commit.
        ticket: u64,
        /// The record.
        record: record::Record,
    },
    /// The fate of a request of this entry changed.
    Fate(fate::Fate),
    /// A traffic thread asks for the fate of a request.
    WantFate {
        /// Matches the answer to this query.
        ticket: u64,
        /// Request.
        request: ids::RequestId,
    },
    /// This entry begins its planned stop.
    Leave,
}
