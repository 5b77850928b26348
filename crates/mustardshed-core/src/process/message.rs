//! Messages between entry processes.
//!
//! No message carries a [`ids::Timestamp`] of its receiver or of a third process: only ages and
//! remaining times cross a link. A heartbeat's `sent_at` comes back to its sender unchanged.

use std::time;

use crate::{
    boundary::{backend_server, control},
    error, ids,
    request::fate,
    version::record,
};

/// A fact of soft state: one author, a version that grows, and an age.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// Author's VM.
    pub author: ids::VmId,
    /// Author's incarnation; a later one goes before any earlier one.
    pub incarnation: ids::Incarnation,
    /// Version among the facts of this author and subject; it grows.
    pub version: u64,
    /// Age when it was sent.
    pub age: time::Duration,
    /// What is stated.
    pub body: FactBody,
}

/// What a [`Fact`] states.
#[derive(Clone, Debug, PartialEq)]
pub enum FactBody {
    /// The author is alive.
    Alive {
        /// `IP:PORT` towards callers.
        address: String,
        /// `IP:PORT` towards peers.
        peer_address: String,
        /// Data centre.
        data_centre: ids::DataCentreId,
        /// Whether it is leaving.
        leaving: bool,
        /// Generation in force.
        generation: ids::Generation,
    },
    /// The author is alive, and where its latest [`FactBody::Alive`] of this incarnation says.
    StillAlive {
        /// Whether it is leaving.
        leaving: bool,
        /// Generation in force.
        generation: ids::Generation,
    },
    /// How busy the author is; left untold, it is idle.
    Busy {
        /// Its level.
        level: ids::BusyLevel,
    },
    /// The author is steward of a backend server and read its load.
    Load {
        /// Backend server.
        server: ids::BackendServerId,
        /// Its report without the held requests; `None` if it does not answer.
        report: Option<backend_server::LoadReport>,
        /// Prefill speed learned, in tokens a second.
        prefill_tokens_per_second: f64,
        /// KV memory under credits, in tokens.
        credited_tokens: ids::Tokens,
        /// Number of credits.
        credits: u32,
    },
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Sender's time of sending; echoed in the acknowledgement.
    pub sent_at: ids::Timestamp,
    /// Generation in force at the sender.
    pub generation: ids::Generation,
    /// Facts that the receiver may not have.
    pub facts: Vec<Fact>,
}

/// Acknowledgement of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatAck {
    /// `sent_at` of the heartbeat.
    pub echo: ids::Timestamp,
    /// Age of the acknowledger's confirmation of its configuration by the platform, direct or through peers.
    pub confirmation_age: Option<time::Duration>,
    /// Whether the acknowledger's last call on the platform was answered.
    pub platform_answers: bool,
    /// Whether the acknowledger has run for long enough to know of every intent that may have been written.
    pub can_vote: bool,
    /// Generation in force at the acknowledger.
    pub generation: ids::Generation,
    /// Intents that the acknowledger holds, without their texts.
    pub intents: Vec<record::Record>,
    /// Authors of whom the acknowledger has heard nothing new for a while.
    pub wants: Vec<ids::VmId>,
    /// Authors whose facts the heartbeat told too late to be news.
    pub declines: Vec<ids::VmId>,
}

/// A credit as its holder states it to a new steward.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldCredit {
    /// Request.
    pub request: ids::RequestId,
    /// KV memory in tokens.
    pub tokens: ids::Tokens,
}

/// A message between entry processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Heartbeat with soft state.
    Heartbeat(Heartbeat),
    /// Its acknowledgement.
    HeartbeatAck(HeartbeatAck),
    /// Asks for the configuration if it is newer than this generation.
    WantConfiguration {
        /// Generation that the sender has.
        newer_than: ids::Generation,
    },
    /// An accepted configuration.
    Configuration(record::Record),
    /// An intended configuration.
    Intent(record::Record),
    /// Asks the steward for a credit.
    Acquire {
        /// Number by which the sender finds its caller again.
        ticket: u64,
        /// What is asked; its `wait_until` does not cross the link.
        req: control::CreditRequest,
        /// Time for which waiting makes sense, from the receipt on.
        timeout: time::Duration,
    },
    /// Answer to [`Message::Acquire`].
    Acquired {
        /// Number of the question.
        ticket: u64,
        /// Credit's request.
        request: ids::RequestId,
        /// Backend server.
        server: ids::BackendServerId,
        /// Time from the receipt of the question to the decision.
        waited: time::Duration,
        /// Epoch for which the credit was granted, or the refusal.
        result: Result<ids::Epoch, error::Error>,
    },
    /// Gives a credit back.
    Release {
        /// Credit's request.
        request: ids::RequestId,
        /// Backend server.
        server: ids::BackendServerId,
        /// How the work went.
        feedback: control::Feedback,
    },
    /// Asks for the credits that the receiver holds on a backend server.
    WantHeldCredits {
        /// Backend server.
        server: ids::BackendServerId,
    },
    /// All credits that the sender holds, or has just granted, on a backend server; it takes the
    /// receiver for its steward.
    HeldCredits {
        /// Backend server.
        server: ids::BackendServerId,
        /// Credits.
        credits: Vec<HeldCredit>,
    },
    /// The sender saw a sign that a backend server turned cold.
    ColdSign {
        /// Backend server.
        server: ids::BackendServerId,
        /// Epoch seen.
        epoch: ids::Epoch,
    },
    /// Asks for the fate of a request of the receiver.
    WantFate {
        /// Number by which the sender finds its caller again.
        ticket: u64,
        /// Request.
        request: ids::RequestId,
    },
    /// Answer to [`Message::WantFate`].
    FateIs {
        /// Number of the question.
        ticket: u64,
        /// Fate, if the receiver knows the request.
        fate: Option<fate::Fate>,
    },
}
