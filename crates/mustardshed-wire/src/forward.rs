//! Messages between entries that forward requests: CBOR, several to a frame.
//!
//! Between entries of a mesh the side that opened a link tells what it has in flight and asks; the
//! other side answers. Between a leaf and its relay both sides do both. Times cross a link as ages
//! only, but for [`Heartbeat::sent_at_us`], which comes back to its sender unchanged.

use std::time;

use mustardshed_core::{
    forward::{ledger, roster},
    ids,
};

use crate::peer;

mod job;

pub use job::Job;

/// Number of kinds of objects whose state entries tell one another.
pub const TOPICS: usize = 4;

/// What an entry says of itself.
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
    /// Whether callers should be told of it.
    #[serde(rename = "w")]
    pub takes_work: bool,
}

impl Entry {
    /// Returns what an entry of this name says of itself.
    #[must_use]
    pub fn new(vm: &str, entry: roster::Entry) -> Self {
        Self {
            vm: vm.to_owned(),
            front: entry.front,
            data_centre: entry.data_centre,
            takes_work: entry.takes_work,
        }
    }
}

impl From<Entry> for roster::Entry {
    fn from(entry: Entry) -> Self {
        Self {
            front: entry.front,
            data_centre: entry.data_centre,
            takes_work: entry.takes_work,
        }
    }
}

/// How far a kind of objects was read.
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct TopicState {
    /// Revision of the last change that was read.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Time since it was known that there is no later change, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Whether the platform does not answer who tells this.
    #[serde(rename = "f", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_failing: bool,
}

/// An entry that is alive, heard of through others.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct LiveEntry {
    /// What it says of itself.
    #[serde(rename = "n")]
    pub entry: Entry,
    /// Time since it was asked for that, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// A sign of life, to be answered by [`Message::Echo`].
#[derive(Clone, Copy, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Heartbeat {
    /// Sender's time in microseconds.
    #[serde(rename = "t")]
    pub sent_at_us: u64,
}

/// An object of the platform.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[expect(missing_docs, reason = "the fields are those of the platform's object")]
pub struct Object {
    pub name: String,
    pub revision: u64,
    pub content: String,
}

/// A message.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub enum Message {
    /// Who opened the link; what was known of its work is void.
    #[serde(rename = "h")]
    Hello {
        /// What it says of itself.
        #[serde(rename = "n")]
        entry: Entry,
        /// Whether it hears what others tell on this link only.
        #[serde(rename = "l")]
        is_leaf: bool,
    },
    /// A message of another entry, passed on.
    #[serde(rename = "v")]
    Relayed {
        /// Whose message it is.
        #[serde(rename = "v")]
        vm: ids::VmId,
        /// The message.
        #[serde(rename = "m")]
        message: Box<Message>,
    },
    /// What a leaf has heard of the work of all others is void; what holds follows.
    #[serde(rename = "a")]
    Reset,
    /// Entries that are alive.
    #[serde(rename = "l")]
    LiveEntries(Vec<LiveEntry>),
    /// A sign of life.
    #[serde(rename = "b")]
    Heartbeat(Heartbeat),
    /// Answer to a beat.
    #[serde(rename = "e")]
    Echo {
        /// [`Heartbeat::sent_at_us`] of the beat.
        #[serde(rename = "t")]
        sent_at_us: u64,
        /// Who answers.
        #[serde(rename = "n")]
        entry: Entry,
        /// How far it has read each kind of objects, if it has.
        #[serde(rename = "s")]
        topics: [Option<TopicState>; TOPICS],
    },
    /// A request was sent.
    #[serde(rename = "s")]
    Started {
        /// Number within the sender's run.
        #[serde(rename = "n")]
        number: u64,
        /// The request.
        #[serde(rename = "j")]
        job: Job,
    },
    /// The first event of a request came.
    #[serde(rename = "w")]
    FirstEvent {
        /// Number within the sender's run.
        #[serde(rename = "n")]
        number: u64,
    },
    /// A request ended.
    #[serde(rename = "x")]
    Ended {
        /// Number within the sender's run.
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
        /// For how long, in milliseconds.
        #[serde(rename = "l")]
        left_ms: u64,
    },
    /// A server is slower than its profile, or no longer.
    #[serde(rename = "p")]
    Slowdown {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
        /// Factor by which it is slower.
        #[serde(rename = "f")]
        slowdown: f64,
    },
    /// A server has said that it leaves.
    #[serde(rename = "g")]
    Leaving {
        /// Its name.
        #[serde(rename = "s")]
        server: ids::BackendServerId,
        /// Start of the run that leaves in Unix milliseconds, as far as it is known.
        #[serde(rename = "b")]
        started_unix_ms: Option<u64>,
    },
    /// The objects of a kind are wanted.
    #[serde(rename = "q")]
    WantTopic {
        /// Place of the kind.
        #[serde(rename = "i")]
        topic: usize,
    },
    /// The objects of a kind.
    #[serde(rename = "o")]
    Topic {
        /// Place of the kind.
        #[serde(rename = "i")]
        topic: usize,
        /// How far it was read.
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
/// Returns an error if `buf` is too large or holds anything else.
pub fn decode(buf: &[u8]) -> Result<Vec<Message>, peer::Error> {
    peer::from_frame(buf)
}

/// Returns a sender's time as it crosses a link.
#[must_use]
pub fn micros(at: ids::Timestamp) -> u64 {
    u64::try_from(at.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time that crossed a link as [`micros`].
#[must_use]
pub const fn timestamp(micros: u64) -> ids::Timestamp {
    time::Duration::from_micros(micros)
}

/// Returns the key of a sender's job.
#[must_use]
pub fn job_key(vm: &str, number: u64) -> ledger::JobKey {
    ledger::JobKey {
        vm: vm.to_owned(),
        number,
    }
}
