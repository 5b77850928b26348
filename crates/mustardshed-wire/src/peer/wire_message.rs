//! Messages between entry processes on the wire.

use std::time;

use mustardshed_core::process::message;

use super::{credit, error, fate, field, heartbeat};
use crate::configuration;

const MAX_HELD_CREDITS: usize = 16_384;

/// A message on the wire; each variant encodes the core's variant of the same name.
#[derive(Clone, Debug, serde::Deserialize, PartialEq, serde::Serialize)]
#[expect(missing_docs, reason = "the core documents the variants and fields")]
pub enum Message {
    #[serde(rename = "h")]
    Heartbeat(heartbeat::Heartbeat),
    #[serde(rename = "k")]
    HeartbeatAck(heartbeat::HeartbeatAck),
    #[serde(rename = "wc")]
    WantConfiguration { newer_than: u64 },
    #[serde(rename = "c")]
    Configuration(configuration::Record),
    #[serde(rename = "i")]
    Intent(configuration::Record),
    #[serde(rename = "a")]
    Acquire {
        #[serde(rename = "t")]
        ticket: u64,
        #[serde(rename = "q")]
        req: credit::CreditRequest,
        #[serde(rename = "p")]
        patience_nanos: u64,
    },
    #[serde(rename = "g")]
    Acquired {
        #[serde(rename = "t")]
        ticket: u64,
        #[serde(rename = "r")]
        request: String,
        #[serde(rename = "s")]
        server: String,
        #[serde(rename = "w", default, skip_serializing_if = "field::is_default")]
        waited_nanos: u64,
        #[serde(rename = "e")]
        result: Result<u64, credit::Refusal>,
    },
    #[serde(rename = "r")]
    Release {
        #[serde(rename = "r")]
        request: String,
        #[serde(rename = "s")]
        server: String,
        #[serde(rename = "f")]
        feedback: credit::Feedback,
    },
    #[serde(rename = "wh")]
    WantHeldCredits { server: String },
    #[serde(rename = "hc")]
    HeldCredits {
        server: String,
        credits: Vec<credit::HeldCredit>,
    },
    #[serde(rename = "s")]
    ColdSign { server: String, epoch: u64 },
    #[serde(rename = "wf")]
    WantFate { ticket: u64, request: String },
    #[serde(rename = "f")]
    FateIs {
        ticket: u64,
        fate: Option<fate::Fate>,
    },
}

impl From<message::Message> for Message {
    fn from(message: message::Message) -> Self {
        use message::Message as Core;

        match message {
            Core::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            Core::HeartbeatAck(ack) => Self::HeartbeatAck(ack.into()),
            Core::WantConfiguration { newer_than } => Self::WantConfiguration { newer_than },
            Core::Configuration(record) => Self::Configuration(record.into()),
            Core::Intent(record) => Self::Intent(record.into()),
            Core::Acquire {
                ticket,
                req,
                timeout,
            } => Self::Acquire {
                ticket,
                req: req.into(),
                patience_nanos: field::to_nanos(timeout),
            },
            Core::Acquired {
                ticket,
                request,
                server,
                waited,
                result,
            } => Self::Acquired {
                ticket,
                request,
                server,
                waited_nanos: field::to_nanos(waited),
                result: result.map_err(credit::Refusal::from),
            },
            Core::Release {
                request,
                server,
                feedback,
            } => Self::Release {
                feedback: credit::Feedback::from(feedback).compact(&request, &server),
                request,
                server,
            },
            Core::WantHeldCredits { server } => Self::WantHeldCredits { server },
            Core::HeldCredits { server, credits } => Self::HeldCredits {
                server,
                credits: credits.into_iter().map(Into::into).collect(),
            },
            Core::ColdSign { server, epoch } => Self::ColdSign { server, epoch },
            Core::WantFate { ticket, request } => Self::WantFate { ticket, request },
            Core::FateIs { ticket, fate } => Self::FateIs {
                ticket,
                fate: fate.map(fate::Fate::from),
            },
        }
    }
}

impl TryFrom<Message> for message::Message {
    type Error = error::Error;

    fn try_from(message: Message) -> Result<Self, Self::Error> {
        Ok(match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.try_into()?),
            Message::HeartbeatAck(ack) => Self::HeartbeatAck(ack.try_into()?),
            Message::WantConfiguration { newer_than } => Self::WantConfiguration { newer_than },
            Message::Configuration(record) => Self::Configuration(heartbeat::record(record)?),
            Message::Intent(record) => Self::Intent(heartbeat::record(record)?),
            Message::Acquire {
                ticket,
                req,
                patience_nanos,
            } => Self::Acquire {
                ticket,
                req: req.try_into()?,
                timeout: time::Duration::from_nanos(patience_nanos),
            },
            Message::Acquired {
                ticket,
                request,
                server,
                waited_nanos,
                result,
            } => Self::Acquired {
                ticket,
                request: field::name("request", request)?,
                server: field::name("server", server)?,
                waited: time::Duration::from_nanos(waited_nanos),
                result: acquired(result)?,
            },
            Message::Release {
                request,
                server,
                feedback,
            } => Self::Release {
                feedback: feedback.expand(&request, &server).try_into()?,
                request: field::name("request", request)?,
                server: field::name("server", server)?,
            },
            Message::WantHeldCredits { server } => Self::WantHeldCredits {
                server: field::name("server", server)?,
            },
            Message::HeldCredits { server, credits } => Self::HeldCredits {
                server: field::name("server", server)?,
                credits: field::list("credits", credits, MAX_HELD_CREDITS)?,
            },
            Message::ColdSign { server, epoch } => Self::ColdSign {
                server: field::name("server", server)?,
                epoch,
            },
            Message::WantFate { ticket, request } => Self::WantFate {
                ticket,
                request: field::name("request", request)?,
            },
            Message::FateIs { ticket, fate } => Self::FateIs {
                ticket,
                fate: fate.map(TryInto::try_into).transpose()?,
            },
        })
    }
}

fn acquired(
    result: Result<u64, credit::Refusal>,
) -> Result<Result<u64, mustardshed_core::error::Error>, error::Error> {
    match result {
        Ok(epoch) => Ok(Ok(epoch)),
        Err(refusal) => Ok(Err(refusal.try_into()?)),
    }
}
