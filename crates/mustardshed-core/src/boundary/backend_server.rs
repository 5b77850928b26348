//! Interface to backend servers: model engines and plain services.

use std::{collections, fmt, time};

use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use futures_util::stream;

use crate::ids;

/// Warmth of a backend server, as it reports it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Warmth {
    /// It serves at most its cold limit of requests at once.
    Cold,
    /// It serves its full load.
    Warm,
}

/// A request or reservation for which a backend server holds memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldRequest {
    /// Identifier of the request or of the reservation.
    pub id: ids::RequestId,
    /// KV memory held, in tokens.
    pub tokens: ids::Tokens,
    /// Whether it is a reservation of a gang.
    pub reservation: bool,
}

/// A backend server's report of its load, which lags behind the actual load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Epoch of the server.
    pub epoch: ids::Epoch,
    /// Warmth.
    pub warmth: Warmth,
    /// Whether the server is about to leave the fleet.
    pub leaving: bool,
    /// Age of the figures when the report was sent.
    pub age: time::Duration,
    /// Total KV memory, in tokens.
    pub memory_tokens: ids::Tokens,
    /// KV memory held by requests and reservations, in tokens.
    pub used_tokens: ids::Tokens,
    /// Prompt tokens waiting for prefill.
    pub queued_prefill_tokens: ids::Tokens,
    /// Requests in progress.
    pub running: u32,
    /// Loaded models, each with its version.
    pub models: collections::BTreeMap<ids::ModelId, String>,
    /// Requests and reservations that hold memory.
    pub held: Vec<HeldRequest>,
}

/// Encoding of a prompt's bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PromptFormat {
    /// UTF-8 text.
    Text,
    /// Token IDs, each a little-endian 32-bit integer.
    Tokens,
}

/// A prompt as it is sent to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineRequest {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// Model to run.
    pub model: ids::ModelId,
    /// Prompt.
    pub prompt: Bytes,
    /// Encoding of the prompt's bytes.
    pub prompt_format: PromptFormat,
    /// Prompt length in tokens as counted by the entry.
    pub prompt_tokens: ids::Tokens,
    /// Maximum output length, in tokens.
    pub max_tokens: ids::Tokens,
    /// Index of the first output token to return.
    pub offset: ids::Tokens,
    /// Priority; lower runs first.
    pub priority: u32,
    /// Addresses of all engines of the gang, the receiver's first; empty for a single engine.
    pub gang: Vec<String>,
}

/// An output token as received from an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenFrame {
    /// Identifier of the request to which the token belongs, according to the engine.
    pub id: ids::RequestId,
    /// Index of the token in the output.
    pub offset: ids::Tokens,
    /// Text of the token.
    pub text: String,
    /// Why the output ended; set on the last frame only.
    pub finish: Option<String>,
    /// Epoch of the server when it sent the frame.
    pub epoch: ids::Epoch,
}

/// Failure of a call to a backend server.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum BackendServerError {
    /// the backend server refused the request before running any of it: {0}
    Refused(String),
    /// the backend server could not be connected to, so nothing was sent: {0}
    Unreachable(String),
    /// the connection broke or the response was invalid; the request may have run: {0}
    Broken(String),
}

impl std::error::Error for BackendServerError {}

/// Output tokens of a request in order of arrival.
pub type TokenStream =
    std::pin::Pin<Box<dyn stream::Stream<Item = Result<TokenFrame, BackendServerError>> + Send>>;

/// A change of what an engine runs; it states the wanted result, so it may arrive late or twice.
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

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceCall {
    /// Identifier of the request.
    pub id: ids::RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query, relative to the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Epoch of the server, if the response names it.
    pub epoch: Option<ids::Epoch>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Client for backend servers, each addressed by its `IP:PORT`.
///
/// Every method fails with a [`BackendServerError`], which tells whether the request may have run.
#[async_trait]
pub trait BackendServer: fmt::Debug + Send + Sync {
    /// Sends a prompt and returns its output stream.
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

    /// Cancels a request and frees its memory; succeeds if there is no such request.
    async fn cancel(&self, address: &str, id: &ids::RequestId) -> Result<(), BackendServerError>;

    /// Reserves KV memory on one engine of a gang.
    async fn reserve(
        &self,
        address: &str,
        id: &ids::RequestId,
        tokens: ids::Tokens,
    ) -> Result<(), BackendServerError>;

    /// Releases a reservation; succeeds if there is no such reservation.
    async fn release(&self, address: &str, id: &ids::RequestId) -> Result<(), BackendServerError>;

    /// Reads the load report.
    async fn load(&self, address: &str) -> Result<LoadReport, BackendServerError>;

    /// Sends an order with the fencing number of the sender's lease.
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
