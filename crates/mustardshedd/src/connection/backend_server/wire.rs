//! Request and response bodies of an engine.

use std::{borrow, collections, str, time};

use mustardshed::core::{
    boundary::backend_server::{
        BackendServerError, EngineRequest, HeldRequest, LoadReport, Order, PromptFormat,
        TokenFrame, Warmth,
    },
    ids,
};
use serde::{Deserialize, Serialize, Serializer};

use crate::connection::backend_server::failure;

/// Length of a token number in bytes.
const TOKEN_BYTES: usize = 4;

/// Body of a completion request.
#[derive(Debug, Serialize)]
pub(super) struct CompletionBody<'a> {
    model: &'a str,
    prompt: PromptBody<'a>,
    max_tokens: u64,
    stream: bool,
    offset: u64,
    priority: u32,
    gang: &'a [String],
}

impl<'a> TryFrom<&'a EngineRequest> for CompletionBody<'a> {
    type Error = BackendServerError;

    fn try_from(req: &'a EngineRequest) -> Result<Self, BackendServerError> {
        Ok(Self {
            model: &req.model,
            prompt: PromptBody::try_from(req)?,
            max_tokens: req.max_tokens,
            stream: true,
            offset: req.offset,
            priority: req.priority,
            gang: &req.gang,
        })
    }
}

/// Prompt as text or as an array of token numbers.
#[derive(Debug, Serialize)]
#[serde(untagged)]
enum PromptBody<'a> {
    Text(&'a str),
    #[serde(serialize_with = "serialize_tokens")]
    Tokens(&'a [[u8; TOKEN_BYTES]]),
}

impl<'a> TryFrom<&'a EngineRequest> for PromptBody<'a> {
    type Error = BackendServerError;

    fn try_from(req: &'a EngineRequest) -> Result<Self, BackendServerError> {
        match req.prompt_format {
            PromptFormat::Text => str::from_utf8(&req.prompt)
                .map(Self::Text)
                .map_err(failure::not_sent),
            PromptFormat::Tokens => match req.prompt.as_chunks() {
                (tokens, []) => Ok(Self::Tokens(tokens)),
                _ => Err(failure::not_sent("the prompt ends within a token number")),
            },
        }
    }
}

fn serialize_tokens<S: Serializer>(
    tokens: &&[[u8; TOKEN_BYTES]],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(tokens.iter().map(|token| u32::from_le_bytes(*token)))
}

/// Data of an event with an output token.
#[derive(Debug, Deserialize)]
pub(super) struct FrameBody<'a> {
    #[serde(borrow)]
    id: borrow::Cow<'a, str>,
    offset: u64,
    #[serde(borrow)]
    text: borrow::Cow<'a, str>,
    finish_reason: Option<String>,
    epoch: u64,
}

impl From<FrameBody<'_>> for TokenFrame {
    fn from(frame: FrameBody<'_>) -> Self {
        Self {
            id: frame.id.into_owned(),
            offset: frame.offset,
            text: frame.text.into_owned(),
            finish: frame.finish_reason,
            epoch: frame.epoch,
        }
    }
}

/// Body of a reservation request.
#[derive(Debug, Serialize)]
pub(super) struct ReservationBody {
    pub(super) tokens: u64,
}

/// Body of an order request.
#[derive(Debug, Serialize)]
pub(super) struct OrderBody {
    fence: u64,
    order: OrderKind,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String },
    ChangeRole { role: String },
}

impl OrderBody {
    /// Returns the body of an order that carries a fencing number.
    pub(super) fn new(fence: ids::FencingNumber, order: Order) -> Self {
        let order = match order {
            Order::LoadModel { model, version } => OrderKind::LoadModel { model, version },
            Order::LoadAdapter { adapter } => OrderKind::LoadAdapter { adapter },
            Order::ChangeRole { role } => OrderKind::ChangeRole { role },
        };
        Self { fence, order }
    }
}

/// Body of a load report.
#[derive(Debug, Deserialize)]
pub(super) struct LoadBody {
    epoch: u64,
    warmth: WarmthBody,
    leaving: bool,
    age_ms: u64,
    #[serde(default)]
    memory_tokens: u64,
    #[serde(default)]
    used_tokens: u64,
    #[serde(default)]
    queued_prefill_tokens: u64,
    running: u32,
    #[serde(default)]
    models: collections::BTreeMap<String, String>,
    #[serde(default)]
    held: Vec<HeldBody>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WarmthBody {
    Cold,
    Warm,
}

#[derive(Debug, Deserialize)]
struct HeldBody {
    id: String,
    tokens: u64,
    reservation: bool,
}

impl From<LoadBody> for LoadReport {
    fn from(body: LoadBody) -> Self {
        Self {
            epoch: body.epoch,
            warmth: body.warmth.into(),
            leaving: body.leaving,
            age: time::Duration::from_millis(body.age_ms),
            memory_tokens: body.memory_tokens,
            used_tokens: body.used_tokens,
            queued_prefill_tokens: body.queued_prefill_tokens,
            running: body.running,
            models: body.models,
            held: body.held.into_iter().map(HeldRequest::from).collect(),
        }
    }
}

impl From<WarmthBody> for Warmth {
    fn from(body: WarmthBody) -> Self {
        match body {
            WarmthBody::Cold => Self::Cold,
            WarmthBody::Warm => Self::Warm,
        }
    }
}

impl From<HeldBody> for HeldRequest {
    fn from(body: HeldBody) -> Self {
        Self {
            id: body.id,
            tokens: body.tokens,
            reservation: body.reservation,
        }
    }
}
