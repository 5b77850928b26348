//! Facts of soft state, spread by gossip, on the wire.

use std::time;

use mustardshed_core::process::{busy, message};

use super::{error, field, load};

/// Facts of one incarnation of an author on the wire, so that the author is sent once.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub struct AuthorFacts {
    #[serde(rename = "a")]
    author: String,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "f")]
    facts: Vec<Fact>,
}

/// A fact on the wire, without its author.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub struct Fact {
    #[serde(rename = "v")]
    version: u64,
    #[serde(rename = "g", default, skip_serializing_if = "field::is_default")]
    age_nanos: u64,
    #[serde(rename = "b")]
    body: FactBody,
}

/// Body of a fact on the wire.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
pub enum FactBody {
    /// The author is alive.
    #[serde(rename = "a")]
    Alive {
        /// `IP:PORT` for callers.
        #[serde(rename = "a")]
        address: String,
        /// `IP:PORT` for peers.
        #[serde(rename = "p")]
        peer_address: String,
        /// Data centre.
        #[serde(rename = "d")]
        data_centre: String,
        /// Whether it is leaving.
        #[serde(rename = "l", default, skip_serializing_if = "field::is_default")]
        leaving: bool,
        /// Generation in force.
        #[serde(rename = "g")]
        generation: u64,
    },
    /// The author is alive, with the addresses of its last [`Self::Alive`] of this incarnation.
    #[serde(rename = "s")]
    StillAlive {
        /// Whether it is leaving.
        #[serde(rename = "l", default, skip_serializing_if = "field::is_default")]
        leaving: bool,
        /// Generation in force.
        #[serde(rename = "g")]
        generation: u64,
    },
    /// How busy the author is.
    #[serde(rename = "b")]
    Busy {
        /// Its level.
        #[serde(rename = "l")]
        level: u8,
    },
    /// The author is steward of a backend server and has read its load.
    #[serde(rename = "l")]
    Load {
        /// Backend server.
        #[serde(rename = "s")]
        server: String,
        /// Its report; `None` if it does not respond.
        #[serde(rename = "r", default, skip_serializing_if = "field::is_default")]
        report: Option<load::LoadReport>,
        /// Prefill speed in tokens a second.
        #[serde(rename = "p", default, skip_serializing_if = "field::is_default")]
        prefill_tokens_per_second: f64,
        /// KV memory covered by credits, in tokens.
        #[serde(rename = "t", default, skip_serializing_if = "field::is_default")]
        credited_tokens: u64,
        /// Number of credits.
        #[serde(rename = "c", default, skip_serializing_if = "field::is_default")]
        credits: u32,
    },
}

/// Groups consecutive facts of one incarnation of an author.
pub(super) fn group(facts: Vec<message::Fact>) -> Vec<AuthorFacts> {
    let mut groups: Vec<AuthorFacts> = Vec::new();
    for fact in facts {
        match groups.last_mut() {
            Some(group) if group.has_author_of(&fact) => group.facts.push(fact.into()),
            _ => groups.push(AuthorFacts::from(fact)),
        }
    }
    groups
}

/// Returns the facts of all groups; fails if there are more than `max_len` facts or groups.
pub(super) fn ungroup(
    groups: Vec<AuthorFacts>,
    max_len: usize,
) -> Result<Vec<message::Fact>, error::Error> {
    let count: usize = groups.iter().map(|group| group.facts.len()).sum();
    if count > max_len || groups.len() > max_len {
        return Err(error::Error::OutOfBounds("facts"));
    }
    let mut facts = Vec::with_capacity(count);
    for group in groups {
        let author = field::name("author", group.author)?;
        for fact in group.facts {
            facts.push(fact.with_author(&author, group.incarnation)?);
        }
    }
    Ok(facts)
}

impl AuthorFacts {
    fn has_author_of(&self, fact: &message::Fact) -> bool {
        self.author == fact.author && self.incarnation == fact.incarnation
    }
}

impl From<message::Fact> for AuthorFacts {
    fn from(fact: message::Fact) -> Self {
        Self {
            author: fact.author.clone(),
            incarnation: fact.incarnation,
            facts: vec![fact.into()],
        }
    }
}

impl Fact {
    fn with_author(self, author: &str, incarnation: u64) -> Result<message::Fact, error::Error> {
        Ok(message::Fact {
            author: author.to_owned(),
            incarnation,
            version: self.version,
            age: time::Duration::from_nanos(self.age_nanos),
            body: self.body.try_into()?,
        })
    }
}

impl From<message::Fact> for Fact {
    fn from(fact: message::Fact) -> Self {
        Self {
            version: fact.version,
            age_nanos: field::to_nanos(fact.age),
            body: fact.body.into(),
        }
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
            message::FactBody::StillAlive {
                leaving,
                generation,
            } => Self::StillAlive {
                leaving,
                generation,
            },
            message::FactBody::Busy { level } => Self::Busy { level },
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
            FactBody::StillAlive {
                leaving,
                generation,
            } => Self::StillAlive {
                leaving,
                generation,
            },
            FactBody::Busy { level } => Self::Busy {
                level: busy_level(level)?,
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

fn busy_level(level: u8) -> Result<u8, error::Error> {
    if level <= busy::MAX_LEVEL {
        Ok(level)
    } else {
        Err(error::Error::OutOfBounds("level"))
    }
}

fn speed(value: f64) -> Result<f64, error::Error> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(error::Error::OutOfBounds("prefill_tokens_per_second"))
    }
}
