//! What happens to a node.

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
    /// Time went on; sent at least every [`super::node::TICK`].
    Tick,
    /// A message came from a peer whose hello named this VM and incarnation.
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
        /// Record and its object version, `None` if there is none yet.
        result: Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError>,
    },
    /// A read of the platform's list of VMs ended.
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
    /// Traffic threads count their requests.
    InFlight {
        /// Requests that are being carried.
        in_flight: usize,
        /// Requests that may be carried at once.
        max_in_flight: usize,
    },
    /// A traffic thread wants a credit.
    Acquire {
        /// Number by which the answer finds its caller.
        ticket: u64,
        /// What is asked.
        req: control::CreditRequest,
    },
    /// A traffic thread gives a credit back.
    Release {
        /// The credit.
        credit: control::Credit,
        /// How the work went.
        feedback: control::Feedback,
    },
    /// An operator intends a configuration.
    Intent {
        /// Number by which the answer finds its caller.
        ticket: u64,
        /// The record.
        record: record::Record,
    },
    /// An operator says that the platform accepted a configuration.
    Commit {
        /// Number by which the answer finds its caller.
        ticket: u64,
        /// The record.
        record: record::Record,
    },
    /// A request of this entry has a new fate.
    Fate(fate::Fate),
    /// A traffic thread asks for a fate.
    WantFate {
        /// Number by which the answer finds its caller.
        ticket: u64,
        /// Request.
        request: ids::RequestId,
    },
    /// This entry is to leave.
    Leave,
}
