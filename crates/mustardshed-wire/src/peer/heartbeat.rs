//! Heartbeats and their acknowledgements on the wire.

use std::time;

use mustardshed_core::{process::message, version::record};

use super::{error, fact, field};
use crate::configuration;

const MAX_FACTS: usize = 1024;
const MAX_INTENTS: usize = 16;
const MAX_AUTHORS: usize = 1024;

/// A heartbeat on the wire.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub struct Heartbeat {
    #[serde(rename = "s")]
    sent_at_nanos: u64,
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "f")]
    facts: Vec<fact::AuthorFacts>,
}

/// An acknowledgement on the wire.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct HeartbeatAck {
    #[serde(rename = "e")]
    echo_nanos: u64,
    #[serde(rename = "c", default, skip_serializing_if = "field::is_default")]
    confirmation_age_nanos: Option<u64>,
    #[serde(rename = "p", default, skip_serializing_if = "field::is_default")]
    platform_answers: bool,
    #[serde(rename = "v", default, skip_serializing_if = "field::is_default")]
    vouches: bool,
    #[serde(rename = "g")]
    generation: u64,
    #[serde(rename = "i", default, skip_serializing_if = "field::is_default")]
    intents: Vec<configuration::Record>,
    #[serde(rename = "w", default, skip_serializing_if = "field::is_default")]
    wants: Vec<String>,
    #[serde(rename = "d", default, skip_serializing_if = "field::is_default")]
    declines: Vec<String>,
}

impl From<message::Heartbeat> for Heartbeat {
    fn from(heartbeat: message::Heartbeat) -> Self {
        Self {
            sent_at_nanos: field::to_nanos(heartbeat.sent_at),
            generation: heartbeat.generation,
            facts: fact::group(heartbeat.facts),
        }
    }
}

impl TryFrom<Heartbeat> for message::Heartbeat {
    type Error = error::Error;

    fn try_from(heartbeat: Heartbeat) -> Result<Self, Self::Error> {
        Ok(Self {
            sent_at: time::Duration::from_nanos(heartbeat.sent_at_nanos),
            generation: heartbeat.generation,
            facts: fact::ungroup(heartbeat.facts, MAX_FACTS)?,
        })
    }
}

impl From<message::HeartbeatAck> for HeartbeatAck {
    fn from(ack: message::HeartbeatAck) -> Self {
        Self {
            echo_nanos: field::to_nanos(ack.echo),
            confirmation_age_nanos: ack.confirmation_age.map(field::to_nanos),
            platform_answers: ack.platform_answers,
            vouches: ack.can_vote,
            generation: ack.generation,
            intents: ack.intents.into_iter().map(Into::into).collect(),
            wants: ack.wants,
            declines: ack.declines,
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
            can_vote: ack.vouches,
            generation: ack.generation,
            intents: ack
                .intents
                .into_iter()
                .map(record)
                .collect::<Result<_, _>>()?,
            wants: authors("wants", ack.wants)?,
            declines: authors("declines", ack.declines)?,
        })
    }
}

/// Checks the lengths of a list of authors of facts and of their names.
fn authors(field: &'static str, names: Vec<String>) -> Result<Vec<String>, error::Error> {
    if names.len() > MAX_AUTHORS {
        return Err(error::Error::OutOfBounds(field));
    }
    names
        .into_iter()
        .map(|name| field::name(field, name))
        .collect()
}

/// Converts a record; its generation must be at least one.
pub(super) fn record(record: configuration::Record) -> Result<record::Record, error::Error> {
    record
        .try_into()
        .map_err(|_| error::Error::OutOfBounds("generation"))
}
