//! Facts of soft state on the wire.

use std::time;

use mustardshed_core::process::message;

use super::{error, field, load};

/// A fact on the wire.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub struct Fact {
    #[serde(rename = "a")]
    author: String,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "t")]
    age_nanos: u64,
    #[serde(rename = "b")]
    body: FactBody,
}

/// What a fact states, on the wire.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FactBody {
    /// The author is alive.
    Alive {
        /// `IP:PORT` towards callers.
        #[serde(rename = "a")]
        address: String,
        /// `IP:PORT` towards peers.
        #[serde(rename = "p")]
        peer_address: String,
        /// Data centre.
        #[serde(rename = "d")]
        data_centre: String,
        /// Whether it is leaving.
        #[serde(rename = "l")]
        leaving: bool,
        /// Generation in force.
        #[serde(rename = "g")]
        generation: u64,
    },
    /// The author is steward of a backend server and read its load.
    Load {
        /// Backend server.
        #[serde(rename = "s")]
        server: String,
        /// Its report; `None` if it does not answer.
        #[serde(rename = "r")]
        report: Option<load::LoadReport>,
        /// Prefill speed in tokens a second.
        #[serde(rename = "f")]
        prefill_tokens_per_second: f64,
        /// KV memory under credits, in tokens.
        #[serde(rename = "t")]
        credited_tokens: u64,
        /// Number of credits.
        #[serde(rename = "c")]
        credits: u32,
    },
}

impl From<message::Fact> for Fact {
    fn from(fact: message::Fact) -> Self {
        Self {
            author: fact.author,
            incarnation: fact.incarnation,
            version: fact.version,
            age_nanos: field::to_nanos(fact.age),
            body: fact.body.into(),
        }
    }
}

impl TryFrom<Fact> for message::Fact {
    type Error = error::Error;

    fn try_from(fact: Fact) -> Result<Self, Self::Error> {
        Ok(Self {
            author: field::name("author", fact.author)?,
            incarnation: fact.incarnation,
            version: fact.version,
            age: time::Duration::from_nanos(fact.age_nanos),
            body: fact.body.try_into()?,
        })
    }
}

impl From<message::FactBody> for FactBody {
    fn from(body: message::FactBody) -> Self {
        match body {
            message::FactBody::Alive {
                address,
                peer_address,
                data_centre,
                leaving,
                generation,
            } => Self::Alive {
                address,
                peer_address,
                data_centre,
                leaving,
                generation,
            },
            message::FactBody::Load {
                server,
                report,
                prefill_tokens_per_second,
                credited_tokens,
                credits,
            } => Self::Load {
                server,
                report: report.map(load::LoadReport::from),
                prefill_tokens_per_second,
                credited_tokens,
                credits,
            },
        }
    }
}

impl TryFrom<FactBody> for message::FactBody {
    type Error = error::Error;

    fn try_from(body: FactBody) -> Result<Self, Self::Error> {
        Ok(match body {
            FactBody::Alive {
                address,
                peer_address,
                data_centre,
                leaving,
                generation,
            } => Self::Alive {
                address: field::name("address", address)?,
                peer_address: field::name("peer_address", peer_address)?,
                data_centre: field::name("data_centre", data_centre)?,
                leaving,
                generation,
            },
            FactBody::Load {
                server,
                report,
                prefill_tokens_per_second,
                credited_tokens,
                credits,
            } => Self::Load {
                server: field::name("server", server)?,
                report: report.map(TryInto::try_into).transpose()?,
                prefill_tokens_per_second: speed(prefill_tokens_per_second)?,
                credited_tokens,
                credits,
            },
        })
    }
}

fn speed(value: f64) -> Result<f64, error::Error> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(error::Error::OutOfBounds("prefill_tokens_per_second"))
    }
}
