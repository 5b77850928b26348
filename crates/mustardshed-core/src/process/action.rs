//! What a node wants done.

use crate::{boundary::control, error, ids, process::message, request::fate};

/// An action that a [`super::node::Node`] asks its process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message over the link to this VM; lost if there is no link or its queue is full.
    Send {
        /// Receiver.
        vm: ids::VmId,
        /// Message.
        message: message::Message,
    },
    /// Keep a link to this VM.
    Connect {
        /// VM.
        vm: ids::VmId,
        /// `IP:PORT` towards peers.
        peer_address: String,
    },
    /// Drop the link to this VM.
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
    /// Cancel a request that nobody owns any more.
    Cancel {
        /// `IP:PORT` of the backend server.
        address: String,
        /// Request.
        request: ids::RequestId,
    },
    /// Release a reservation that nobody owns any more.
    ReleaseReservation {
        /// `IP:PORT` of the backend server.
        address: String,
        /// Request.
        request: ids::RequestId,
    },
    /// Answer a traffic thread that wanted a credit.
    AnswerAcquire {
        /// Number of the question.
        ticket: u64,
        /// Credit or refusal.
        result: Result<control::Credit, error::Error>,
    },
    /// Answer an operator's intent or commit.
    Acknowledge {
        /// Number of the question.
        ticket: u64,
        /// Generation in force, or why the record is refused.
        result: Result<ids::Generation, error::Error>,
    },
    /// Answer a traffic thread that asked for a fate.
    AnswerFate {
        /// Number of the question.
        ticket: u64,
        /// Fate if known; else whether the owner is known to be gone.
        result: FateAnswer,
    },
    /// Write a log event.
    Log(LogEvent),
}

/// Answer to a question for a fate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FateAnswer {
    /// The owner knows.
    Known(fate::Fate),
    /// The owner lives and does not know the request.
    NoSuchRequest,
    /// The run of the process that owned the request is over.
    OwnerGone,
    /// The owner is not known to be gone, and did not answer in time.
    Unanswered,
}

/// A decision or change that is worth a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LogEvent {
    /// A generation is in force.
    ConfigurationInForce {
        /// The generation.
        generation: ids::Generation,
        /// From whom it came.
        source: String,
    },
    /// A generation is in force whose text is not understood; the text before it stays.
    ConfigurationNotUnderstood {
        /// The generation.
        generation: ids::Generation,
        /// Why.
        reason: String,
    },
    /// A member came, left, or is taken to be dead.
    MemberChanged {
        /// The member's VM.
        vm: ids::VmId,
        /// `live`, `suspect`, `dead` or `leaving`.
        state: &'static str,
    },
    /// This entry became, or ceased to be, steward of a backend server.
    StewardChanged {
        /// Backend server.
        server: ids::BackendServerId,
        /// The steward's VM.
        steward: Option<ids::VmId>,
    },
    /// A backend server turned cold or warm, or stopped answering.
    ServerChanged {
        /// Backend server.
        server: ids::BackendServerId,
        /// `cold`, `warm`, `unreachable`, `leaving`.
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
    /// Memory that nobody owned was given back.
    Reaped {
        /// Backend server.
        server: ids::BackendServerId,
        /// Request.
        request: ids::RequestId,
    },
    /// New work may, or may no longer, be placed.
    FreshnessChanged {
        /// Whether it may.
        fresh: bool,
        /// Why.
        reason: String,
    },
    /// This entry took or lost the lease of placement.
    PlacementLease {
        /// Fencing number; zero once it is lost.
        fence: ids::FencingNumber,
        /// `taken` or `lost`.
        state: &'static str,
    },
    /// What an engine holds is to be changed.
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
    /// An order was answered, or the change that it is for ended.
    PlacementOrdered {
        /// Engine.
        server: ids::BackendServerId,
        /// The change.
        change: String,
        /// Fencing number.
        fence: ids::FencingNumber,
        /// What came of it.
        result: String,
    },
}
