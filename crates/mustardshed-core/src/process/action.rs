//! Actions that a node asks its process to carry out.

use crate::{boundary::control, error, ids, process::message, request::fate};

/// An action that a [`super::node::Node`] asks its process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message over the link to this VM; dropped if there is no link or its queue is full.
    Send {
        /// Receiver.
        vm: ids::VmId,
        /// Message.
        message: message::Message,
    },
    /// Open a link to this VM, and reconnect whenever it breaks.
    Connect {
        /// VM.
        vm: ids::VmId,
        /// `IP:PORT` towards peers.
        peer_address: String,
    },
    /// Close the link to this VM.
    Disconnect {
        /// VM.
        vm: ids::VmId,
    },
    /// Read the load of a backend server.
    ReadLoad {
        /// Backend server.
        server: ids::BackendServerId,
        /// `IP:PORT`.
        address: String,
    },
    /// Cancel an orphaned request: its owner is gone or does not claim it.
    Cancel {
        /// `IP:PORT` of the backend server.
        address: String,
        /// Request.
        request: ids::RequestId,
    },
    /// Release an orphaned reservation: its owner is gone or does not claim it.
    ReleaseReservation {
        /// `IP:PORT` of the backend server.
        address: String,
        /// Request.
        request: ids::RequestId,
    },
    /// Answer a traffic thread's request for a credit.
    AnswerAcquire {
        /// Ticket of the [`super::event::Event::Acquire`].
        ticket: u64,
        /// Credit or refusal.
        result: Result<control::Credit, error::Error>,
    },
    /// Answer an operator's intent or commit.
    Acknowledge {
        /// Ticket of the intent or commit.
        ticket: u64,
        /// Generation in force, or why the record is refused.
        result: Result<ids::Generation, error::Error>,
    },
    /// Answer a traffic thread's query for the fate of a request.
    AnswerFate {
        /// Ticket of the [`super::event::Event::WantFate`].
        ticket: u64,
        /// Fate if it is known, otherwise why it is not.
        result: FateAnswer,
    },
    /// Write a log event.
    Log(LogEvent),
}

/// Answer to a query for the fate of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FateAnswer {
    /// The owner knows the request, and this is its fate.
    Known(fate::Fate),
    /// The owner is alive and does not know the request.
    NoSuchRequest,
    /// The incarnation that owned the request has ended.
    OwnerGone,
    /// The owner is not known to have ended, but did not answer in time.
    Unanswered,
}

/// A decision or state change that is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// A configuration generation came into force.
    ConfigurationInForce {
        /// The generation.
        generation: ids::Generation,
        /// Where it came from: `platform`, `operator` or the VM of a peer.
        source: String,
    },
    /// A generation came into force whose text cannot be parsed; the previous text stays in use.
    ConfigurationNotUnderstood {
        /// The generation.
        generation: ids::Generation,
        /// Parse error.
        reason: String,
    },
    /// A member joined, is leaving, or changed its liveness state.
    MemberChanged {
        /// The member's VM.
        vm: ids::VmId,
        /// `live`, `suspect`, `dead` or `leaving`.
        state: &'static str,
    },
    /// A backend server got another steward, or none.
    StewardChanged {
        /// Backend server.
        server: ids::BackendServerId,
        /// VM of the new steward, if there is one.
        steward: Option<ids::VmId>,
    },
    /// A backend server turned cold or warm, or became unreachable.
    ServerChanged {
        /// Backend server.
        server: ids::BackendServerId,
        /// `cold`, `warm`, `unreachable` or `leaving`.
        state: &'static str,
        /// Why.
        reason: String,
    },
    /// A credit was granted or refused.
    CreditDecided {
        /// Request.
        request: ids::RequestId,
        /// Backend server.
        server: ids::BackendServerId,
        /// Whether it was granted.
        granted: bool,
        /// Why.
        reason: String,
    },
    /// An orphaned request or reservation is removed from a backend server.
    Reaped {
        /// Backend server.
        server: ids::BackendServerId,
        /// Request.
        request: ids::RequestId,
    },
    /// This entry may place new work from now on, or no longer may.
    FreshnessChanged {
        /// Whether it may place new work.
        fresh: bool,
        /// Why.
        reason: String,
    },
    /// This entry acquired or lost the placement lease.
    PlacementLease {
        /// Fencing number; zero when the lease is lost.
        fence: ids::FencingNumber,
        /// `taken` or `lost`.
        state: &'static str,
    },
    /// A change to the models or the role of an engine was decided.
    PlacementDecided {
        /// Engine.
        server: ids::BackendServerId,
        /// The change.
        change: String,
        /// Fencing number.
        fence: ids::FencingNumber,
        /// Why.
        reason: &'static str,
    },
    /// An order was answered, or the change that it belongs to ended.
    PlacementOrdered {
        /// Engine.
        server: ids::BackendServerId,
        /// The change.
        change: String,
        /// Fencing number.
        fence: ids::FencingNumber,
        /// Answer to the order, or how the change ended.
        result: String,
    },
}
