//! The backend server border: model engines and plain services.

use std::{collections, fmt, time};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream;

use crate::ids;

/// Warmth of a backend server as it reports it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Warmth {
    /// It bears no more than its cold limit.
    Cold,
    /// It bears its full load.
    Warm,
}

/// One request that a backend server holds memory for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldRequest {
    /// Identifier of the request or of the reservation.
    pub id: ids::RequestId,
    /// KV memory held, in tokens.
    pub tokens: ids::Tokens,
    /// Whether it is a reservation of a gang.
    pub reservation: bool,
}

/// A backend server's own report of its load; it lags.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of the server's warm period.
    pub epoch: ids::Epoch,
    /// Warmth.
    pub warmth: Warmth,
    /// Whether the server is about to leave.
    pub leaving: bool,
    /// Age of the figures when they were sent.
    pub age: time::Duration,
    /// KV memory in tokens.
    pub memory_tokens: ids::Tokens,
    /// KV memory held by requests and reservations, in tokens.
    pub used_tokens: ids::Tokens,
    /// Prompt tokens that wait for prefill.
    pub queued_prefill_tokens: ids::Tokens,
    /// Requests that are being worked on.
    pub running: u32,
    /// Models that are loaded, each with its version.
    pub models: collections::BTreeMap<ids::ModelId, String>,
    /// Requests and reservations that hold memory.
    pub held: Vec<HeldRequest>,
}

/// How the bytes of a prompt are to be read.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PromptFormat {
    /// UTF-8 text.
    Text,
    /// Token numbers, each a little-endian 32-bit integer.
    Tokens,
}

/// A prompt as it is handed to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRequest {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Model to run.
    pub model: ids::ModelId,
    /// Prompt.
    pub prompt: Bytes,
    /// How the prompt's bytes are to be read.
    pub prompt_format: PromptFormat,
    /// Prompt length in tokens as counted by the entry.
    pub prompt_tokens: ids::Tokens,
    /// Output length at most, in tokens.
    pub max_tokens: ids::Tokens,
    /// Index of the first output token wanted.
    pub offset: ids::Tokens,
    /// Priority; lower runs first.
    pub priority: u32,
    /// Addresses of all engines of the gang, the one addressed first; empty for a single engine.
    pub gang: Vec<String>,
}

/// An output token as an engine sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenFrame {
    /// Identifier of the request that the engine says this belongs to.
    pub id: ids::RequestId,
    /// Index of the token in the output.
    pub offset: ids::Tokens,
    /// Text of the token.
    pub text: String,
    /// Why the output ended, on its last frame.
    pub finish: Option<String>,
    /// Epoch of the server when it sent this.
    pub epoch: ids::Epoch,
}

/// Failure of a call on a backend server.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BackendServerError {
    /// the backend server refused before it ran anything: {0}
    Refused(String),
    /// no connection was made, so nothing was sent: {0}
    Unreachable(String),
    /// the connection broke or an answer was not understood; it may have run: {0}
    Broken(String),
}

impl std::error::Error for BackendServerError {}

/// Tokens of an answer in the order in which they arrive.
pub type TokenStream =
    std::pin::Pin<Box<dyn stream::Stream<Item = Result<TokenFrame, BackendServerError>> + Send>>;

/// An order that changes what an engine runs; declarative, so that it may arrive late and twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a model at a version.
    LoadModel {
        /// Model to load.
        model: ids::ModelId,
        /// Version to load.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Adapter to load.
        adapter: String,
    },
    /// Change the engine's role.
    ChangeRole {
        /// Role to take.
        role: String,
    },
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel { model, version } => write!(f, "load model {model} at {version}"),
            Self::LoadAdapter { adapter } => write!(f, "load adapter {adapter}"),
            Self::ChangeRole { role } => write!(f, "change role to {role}"),
        }
    }
}

/// A call on a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCall {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Epoch of the server, if the answer names it.
    pub epoch: Option<ids::Epoch>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Backend servers, each reached by its `IP:PORT`.
#[async_trait]
pub trait BackendServer: fmt::Debug + Send + Sync {
    /// Sends a prompt and returns its output.
    async fn generate(
        &self,
        address: &str,
        req: EngineRequest,
    ) -> Result<TokenStream, BackendServerError>;

    /// Resumes the output of a request at `offset` on the engine that runs it.
    async fn resume(
        &self,
        address: &str,
        id: &ids::RequestId,
        offset: ids::Tokens,
    ) -> Result<TokenStream, BackendServerError>;

    /// Cancels a request and frees its memory; a request that is not there is no error.
    async fn cancel(&self, address: &str, id: &ids::RequestId) -> Result<(), BackendServerError>;

    /// Reserves memory on one engine of a gang.
    async fn reserve(
        &self,
        address: &str,
        id: &ids::RequestId,
        tokens: ids::Tokens,
    ) -> Result<(), BackendServerError>;

    /// Gives a reservation back; one that is not there is no error.
    async fn release(&self, address: &str, id: &ids::RequestId) -> Result<(), BackendServerError>;

    /// Reads the load report.
    async fn load(&self, address: &str) -> Result<LoadReport, BackendServerError>;

    /// Gives an order under a fencing number.
    async fn order(
        &self,
        address: &str,
        fence: ids::FencingNumber,
        order: Order,
    ) -> Result<(), BackendServerError>;

    /// Calls a plain service.
    async fn call(
        &self,
        address: &str,
        call: ServiceCall,
    ) -> Result<ServiceResponse, BackendServerError>;
}
