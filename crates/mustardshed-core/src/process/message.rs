//! Messages between entry processes.
//!
//! Clocks of different processes are not comparable, so messages carry ages and remaining times
//! instead of [`ids::Timestamp`]s. The exception is a heartbeat's `sent_at`, which its receiver
//! only echoes.

use std::time;

use crate::{
    boundary::{backend_server, control},
    error, ids,
    request::fate,
    version::record,
};

/// A fact of the gossiped soft state: it has one author, a growing version and an age.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// Author's VM.
    pub author: ids::VmId,
    /// Author's incarnation; facts of a later one replace those of an earlier one.
    pub incarnation: ids::Incarnation,
    /// Version among the facts of this author on this subject; it only grows.
    pub version: u64,
    /// Age at the time of sending.
    pub age: time::Duration,
    /// Content.
    pub body: FactBody,
}

/// Content of a [`Fact`].
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
    /// The author is alive, with the addresses of this incarnation's latest [`FactBody::Alive`].
    StillAlive {
        /// Whether it is leaving.
        leaving: bool,
        /// Generation in force.
        generation: ids::Generation,
    },
    /// How busy the author is; without such a fact it is idle.
    Busy {
        /// Its level.
        level: ids::BusyLevel,
    },
    /// Load of a backend server, of which the author is the steward.
    Load {
        /// Backend server.
        server: ids::BackendServerId,
        /// Its report, without the held requests; `None` if it does not answer.
        report: Option<backend_server::LoadReport>,
        /// Measured prefill speed in tokens per second; zero if unknown.
        prefill_tokens_per_second: f64,
        /// KV memory of the outstanding credits, in tokens.
        credited_tokens: ids::Tokens,
        /// Number of outstanding credits.
        credits: u32,
    },
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Time of sending by the sender's clock; echoed in the acknowledgement.
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
    /// Age of the sender's latest confirmation of its configuration by the platform, directly or
    /// through peers; `None` if it was never confirmed.
    pub confirmation_age: Option<time::Duration>,
    /// Whether the sender's last call to the platform was answered.
    pub platform_answers: bool,
    /// Whether this counts as a vote for the configuration: the sender was confirmed long enough
    /// after its start to know every intent that may have been written to the platform.
    pub can_vote: bool,
    /// Generation in force at the sender.
    pub generation: ids::Generation,
    /// Intents that the sender holds, without their texts.
    pub intents: Vec<record::Record>,
    /// Authors of which the sender has heard nothing new for a while and wants facts.
    pub wants: Vec<ids::VmId>,
    /// Authors of which the heartbeat brought no news; others send their facts sooner.
    pub declines: Vec<ids::VmId>,
}

/// A held credit as its holder reports it to a new steward.
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
    /// Heartbeat with facts.
    Heartbeat(Heartbeat),
    /// Acknowledgement of a heartbeat.
    HeartbeatAck(HeartbeatAck),
    /// Asks for the configuration if it is newer than this generation.
    WantConfiguration {
        /// Generation in force at the sender.
        newer_than: ids::Generation,
    },
    /// An accepted configuration.
    Configuration(record::Record),
    /// An intended configuration.
    Intent(record::Record),
    /// Requests a credit from the steward of a backend server.
    Acquire {
        /// Matches the answer to this request.
        ticket: u64,
        /// The request; its `wait_until` is not transmitted.
        req: control::CreditRequest,
        /// Longest wait from the receipt on.
        timeout: time::Duration,
    },
    /// Answer to [`Message::Acquire`].
    Acquired {
        /// Ticket of the [`Message::Acquire`].
        ticket: u64,
        /// Request that the credit is for.
        request: ids::RequestId,
        /// Backend server.
        server: ids::BackendServerId,
        /// Time from the receipt of the request to the decision.
        waited: time::Duration,
        /// Epoch for which the credit was granted, or the refusal.
        result: Result<ids::Epoch, error::Error>,
    },
    /// Releases a credit.
    Release {
        /// Request that the credit is for.
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
    /// All credits that the sender holds, or granted recently, on a backend server of which it
    /// considers the receiver the steward.
    HeldCredits {
        /// Backend server.
        server: ids::BackendServerId,
        /// Credits.
        credits: Vec<HeldCredit>,
    },
    /// The sender detected that a backend server turned cold.
    ColdSign {
        /// Backend server.
        server: ids::BackendServerId,
        /// Epoch of the server after that.
        epoch: ids::Epoch,
    },
    /// Asks for the fate of a request that the receiver owns.
    WantFate {
        /// Matches the answer to this query.
        ticket: u64,
        /// Request.
        request: ids::RequestId,
    },
    /// Answer to [`Message::WantFate`].
    FateIs {
        /// Ticket of the [`Message::WantFate`].
        ticket: u64,
        /// Fate; `None` if the sender does not know the request.
        fate: Option<fate::Fate>,
    },
}
