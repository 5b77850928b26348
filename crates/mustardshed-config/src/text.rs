//! The operators' text: data centres, engine kinds, models, services, client accounts.

use std::{collections, time};

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Name.
    pub name: String,
    /// Region in which it stands.
    pub region: String,
}

/// Whether backend servers refuse an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// They refuse it.
    Checked,
    /// They carry it out.
    Ignored,
}

/// A kind of model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineKind {
    /// Name.
    pub name: String,
    /// KV memory of one engine, in tokens.
    pub memory_tokens: u64,
    /// Requests that one engine works on at once, at most.
    pub max_running: u32,
    /// Requests that a cold engine bears at once.
    pub cold_limit: u32,
    /// Requests that a cold engine must finish before it counts as warm.
    pub warm_after: u32,
    /// Prefill speed assumed until one was seen, in tokens a second.
    pub prefill_tokens_per_second: u32,
    /// Whether fencing numbers are checked.
    pub fencing: Fencing,
}

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Engine kind that runs it.
    pub engine_kind: String,
    /// Version to be loaded.
    pub version: String,
    /// Prompt and output at most, in tokens.
    pub context_tokens: u64,
    /// Bytes of prompt text for one token.
    pub bytes_per_token: u32,
    /// Adapters to be loaded.
    pub adapters: Vec<String>,
}

/// What stands behind a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Backing {
    /// A model.
    Model {
        /// Name of the model.
        model: String,
    },
    /// Plain services whose VMs carry the service's name as their kind.
    Plain {
        /// `METHOD /path` prefixes of calls that may not be repeated.
        non_repeatable: Vec<String>,
        /// Calls that one server works on at once, at most.
        max_running: u32,
        /// Calls that a cold server bears at once.
        cold_limit: u32,
    },
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name.
    pub name: String,
    /// What stands behind it.
    pub backing: Backing,
    /// Services that must serve for this one to serve.
    pub depends_on: Vec<String>,
    /// Deadline of a request that names none.
    pub default_deadline: time::Duration,
    /// Longest deadline that a request may name.
    pub max_deadline: time::Duration,
    /// Retries and hedges for each 100 first sends, at most.
    pub retry_percent: u32,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientAccount {
    /// Name.
    pub name: String,
    /// SHA-256 digests of its keys.
    pub key_digests: Vec<[u8; 32]>,
    /// Weight of its fair share.
    pub weight: u32,
    /// Requests that it may have running at once on the whole fleet.
    pub max_running: u32,
    /// Services that it may use; empty for all.
    pub services: Vec<String>,
}

/// The operators' text, checked.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Text {
    /// Data centres, by name.
    pub data_centres: collections::BTreeMap<String, DataCentre>,
    /// Engine kinds, by name.
    pub engine_kinds: collections::BTreeMap<String, EngineKind>,
    /// Models, by name.
    pub models: collections::BTreeMap<String, Model>,
    /// Services, by name.
    pub services: collections::BTreeMap<String, Service>,
    /// Client accounts, by name.
    pub client_accounts: collections::BTreeMap<String, ClientAccount>,
}
