//! Heartbeats and their acknowledgements on the wire.

use std::time;

use mustardshed_core::{process::message, version::record};

use super::{error, fact, field};
use crate::configuration;

const MAX_FACTS: usize = 1024;
const MAX_INTENTS: usize = 16;

/// A heartbeat on the wire.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub struct Heartbeat {
    #[serde(rename = "t")]
    sent_at_nanos: u64,
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "f")]
    facts: Vec<fact::Fact>,
}

/// An acknowledgement on the wire.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct HeartbeatAck {
    #[serde(rename = "t")]
    echo_nanos: u64,
    #[serde(rename = "c")]
    confirmation_age_nanos: Option<u64>,
    #[serde(rename = "p")]
    platform_answers: bool,
    #[serde(rename = "v")]
    vouches: bool,
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "i")]
    intents: Vec<configuration::Record>,
}

impl From<message::Heartbeat> for Heartbeat {
    fn from(heartbeat: message::Heartbeat) -> Self {
        Self {
            sent_at_nanos: field::to_nanos(heartbeat.sent_at),
            generation: heartbeat.generation,
            facts: heartbeat.facts.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<Heartbeat> for message::Heartbeat {
    type Error = error::Error;

    fn try_from(heartbeat: Heartbeat) -> Result<Self, Self::Error> {
        Ok(Self {
            sent_at: time::Duration::from_nanos(heartbeat.sent_at_nanos),
            generation: heartbeat.generation,
            facts: field::list("facts", heartbeat.facts, MAX_FACTS)?,
        })
    }
}

impl From<message::HeartbeatAck> for HeartbeatAck {
    fn from(ack: message::HeartbeatAck) -> Self {
        Self {
            echo_nanos: field::to_nanos(ack.echo),
            confirmation_age_nanos: ack.confirmation_age.map(field::to_nanos),
            platform_answers: ack.platform_answers,
            vouches: ack.vouches,
            generation: ack.generation,
            intents: ack.intents.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<HeartbeatAck> for message::HeartbeatAck {
    type Error = error::Error;

    fn try_from(ack: HeartbeatAck) -> Result<Self, Self::Error> {
        if ack.intents.len() > MAX_INTENTS {
            return Err(error::Error::OutOfBounds("intents"));
        }
        Ok(Self {
            echo: time::Duration::from_nanos(ack.echo_nanos),
            confirmation_age: ack.confirmation_age_nanos.map(time::Duration::from_nanos),
            platform_answers: ack.platform_answers,
            vouches: ack.vouches,
            generation: ack.generation,
            intents: ack
                .intents
                .into_iter()
                .map(record)
                .collect::<Result<_, _>>()?,
        })
    }
}

/// Converts a record whose generation must be at least one.
pub(super) fn record(record: configuration::Record) -> Result<record::Record, error::Error> {
    record
        .try_into()
        .map_err(|_| error::Error::OutOfBounds("generation"))
}
