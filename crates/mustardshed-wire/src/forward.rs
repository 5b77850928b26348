//! Messages between entries that forward requests: CBOR, several to a frame.
//!
//! Between entries of a mesh the side that opened a link sends updates on its requests in flight,
//! and queries; the other side replies. Between a leaf and its relay both sides do both. Times are
//! sent as ages, except [`Heartbeat::sent_at_us`], which is echoed to its sender unchanged.

use std::time;

use mustardshed_core::{
    forward::{live_entries, load_tracker},
    ids,
};

use crate::peer;

mod delay;
mod job;
mod protection;
mod suspect;
pub mod tunnel;

pub use job::Job;
pub use protection::{LaterWork, Protection};
pub use suspect::Suspect;

/// Number of kinds of objects whose state entries send to each other.
pub const TOPICS: usize = 4;

/// An entry's description of itself.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Entry {
    /// Name of the VM.
    #[serde(rename = "v")]
    pub vm: ids::VmId,
    /// Address for callers.
    #[serde(rename = "f")]
    pub front: String,
    /// Data centre.
    #[serde(rename = "d")]
    pub data_centre: ids::DataCentreId,
    /// Whether it accepts new work, so that callers may be sent to it.
    #[serde(rename = "w")]
    pub takes_work: bool,
    /// Whether it has lately reached servers through peers only.
    #[serde(rename = "c", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_cut_off: bool,
}

impl Entry {
    /// Creates the description of the entry on `vm`.
    #[must_use]
    pub fn new(vm: &str, entry: live_entries::Entry) -> Self {
        Self {
            vm: vm.to_owned(),
            front: entry.front,
            data_centre: entry.data_centre,
            takes_work: entry.takes_work,
            is_cut_off: entry.is_cut_off,
        }
    }
}

impl From<Entry> for live_entries::Entry {
    fn from(entry: Entry) -> Self {
        Self {
            front: entry.front,
            data_centre: entry.data_centre,
            takes_work: entry.takes_work,
            is_cut_off: entry.is_cut_off,
        }
    }
}

/// Which state of a kind of objects an entry has read.
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct TopicState {
    /// Revision of the last change that was read.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Era of the platform's store that the revision belongs to.
    #[serde(rename = "e", default)]
    pub era: u64,
    /// Time since the state was last known to be current, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether the sender's calls to the platform fail.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_failing: bool,
}

/// A live entry that another entry reports.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct LiveEntry {
    /// Its description of itself.
    #[serde(rename = "n")]
    pub entry: Entry,
    /// Time since the heartbeat to which it last replied was sent, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// A heartbeat; the receiver replies with [`Message::Echo`].
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Heartbeat {
    /// Time of the sender's clock, in microseconds.
    #[serde(rename = "t")]
    pub sent_at_us: u64,
}

/// An object of the platform.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[expect(missing_docs, reason = "the fields are those of the platform's object")]
pub struct Object {
    pub name: String,
    pub revision: u64,
    #[serde(rename = "e", default)]
    pub era: u64,
    pub content: String,
}

/// A message between entries.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub enum Message {
    /// The entry that opened the link; what the receiver knew of its requests is discarded.
    #[serde(rename = "h")]
    Hello {
        /// Its description of itself.
        #[serde(rename = "n")]
        entry: Entry,
        /// Whether it is a leaf, which receives the updates of other entries on this link only.
        #[serde(rename = "l")]
        is_leaf: bool,
    },
    /// A message of another entry, forwarded by a relay.
    #[serde(rename = "v")]
    Relayed {
        /// Entry that sent the message first.
        #[serde(rename = "v")]
        vm: ids::VmId,
        /// The message.
        #[serde(rename = "m")]
        message: Box<Message>,
    },
    /// A leaf discards what it knows of all other entries' requests; the current state follows.
    #[serde(rename = "a")]
    Reset,
    /// Live entries.
    #[serde(rename = "l")]
    LiveEntries(Vec<LiveEntry>),
    /// A heartbeat.
    #[serde(rename = "b")]
    Heartbeat(Heartbeat),
    /// Reply to a heartbeat.
    #[serde(rename = "e")]
    Echo {
        /// [`Heartbeat::sent_at_us`] of the heartbeat.
        #[serde(rename = "t")]
        sent_at_us: u64,
        /// The replying entry.
        #[serde(rename = "n")]
        entry: Entry,
        /// State that it has read of each kind of objects; `None` if it has read none.
        #[serde(rename = "s")]
        topics: [Option<TopicState>; TOPICS],
    },
    /// A request was sent.
    #[serde(rename = "s")]
    Started {
        /// Number of the request within the sender's incarnation.
        #[serde(rename = "n")]
        number: u64,
        /// The request.
        #[serde(rename = "j")]
        job: Job,
    },
    /// The first event of a request's response arrived.
    #[serde(rename = "w")]
    FirstEvent {
        /// Number of the request within the sender's incarnation.
        #[serde(rename = "n")]
        number: u64,
    },
    /// A request ended.
    #[serde(rename = "x")]
    Ended {
        /// Number of the request within the sender's incarnation.
        #[serde(rename = "n")]
        number: u64,
    },
    /// A server could not be reached.
    #[serde(rename = "u")]
    Unreachable {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
    },
    /// A server is cold.
    #[serde(rename = "c")]
    Cold {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
        /// Remaining time for which it is cold, in milliseconds.
        #[serde(rename = "l")]
        left_ms: u64,
    },
    /// A server's speed compared with its profile has changed.
    #[serde(rename = "p")]
    Slowdown {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
        /// Factor by which it is slower than its profile; 1 if it is not.
        #[serde(rename = "f")]
        slowdown: f64,
    },
    /// A server has announced that it is leaving.
    #[serde(rename = "g")]
    Leaving {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
        /// Start of the leaving run in milliseconds since the Unix epoch, if known.
        #[serde(rename = "b")]
        started_unix_ms: Option<u64>,
    },
    /// A server advertises a rate limit for all entries, or none any more.
    #[serde(rename = "r")]
    RateLimit {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
        /// Requests per second, if it advertises a limit.
        #[serde(rename = "r")]
        per_s: Option<f64>,
        /// Time since the response that the sender has this from, in milliseconds.
        #[serde(rename = "a")]
        age_ms: u64,
    },
    /// A server has crashed.
    #[serde(rename = "k")]
    Crashed {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
        /// Time since the crash, in milliseconds.
        #[serde(rename = "a")]
        age_ms: u64,
        /// Prompt parts of each request that it had not begun to answer.
        #[serde(rename = "p")]
        suspects: Vec<Vec<ids::PromptPartId>>,
        /// The same requests by their contents.
        #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
        requests: Vec<Suspect>,
        /// Start of the run that crashed in milliseconds since the Unix epoch, if known.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        started_unix_ms: Option<u64>,
    },
    /// Servers have begun to answer requests with these prompt parts, or these requests.
    #[serde(rename = "d")]
    Answered {
        /// The parts.
        #[serde(rename = "p")]
        parts: Vec<ids::PromptPartId>,
        /// Fingerprints of the requests.
        #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
        requests: Vec<u64>,
        /// Time since the last of these answers, in milliseconds.
        #[serde(rename = "a")]
        age_ms: u64,
    },
    /// Requests that have all of these prompt parts crash servers.
    #[serde(rename = "z")]
    Quarantined {
        /// The parts.
        #[serde(rename = "p")]
        parts: Vec<ids::PromptPartId>,
        /// Time since the last crash, in milliseconds.
        #[serde(rename = "a")]
        age_ms: u64,
    },
    /// Requests the objects of a kind.
    #[serde(rename = "q")]
    WantTopic {
        /// Index of the kind.
        #[serde(rename = "i")]
        topic: usize,
    },
    /// The objects of a kind.
    #[serde(rename = "o")]
    Topic {
        /// Index of the kind.
        #[serde(rename = "i")]
        topic: usize,
        /// State of the kind that the objects are from.
        #[serde(rename = "s")]
        state: TopicState,
        /// The objects.
        #[serde(rename = "o")]
        objects: Vec<Object>,
    },
}

/// Encodes messages as one frame.
///
/// # Errors
///
/// Returns an error if the frame would be too large.
pub fn encode(messages: &[Message]) -> Result<Vec<u8>, peer::Error> {
    peer::to_frame(&messages)
}

/// Decodes the messages of one frame.
///
/// # Errors
///
/// Returns an error if `buf` is too large or does not hold a list of messages.
pub fn decode(buf: &[u8]) -> Result<Vec<Message>, peer::Error> {
    peer::from_frame(buf)
}

/// Returns a sender's time in microseconds, as sent on a link.
#[must_use]
pub fn micros(at: ids::Timestamp) -> u64 {
    u64::try_from(at.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time that was sent on a link as [`micros`].
#[must_use]
pub const fn timestamp(micros: u64) -> ids::Timestamp {
    time::Duration::from_micros(micros)
}

/// Returns the key of the job `number` of the entry on `vm`.
#[must_use]
pub fn job_key(vm: &str, number: u64) -> load_tracker::JobKey {
    load_tracker::JobKey {
        vm: vm.to_owned(),
        number,
    }
}
