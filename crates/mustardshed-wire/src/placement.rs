//! The placement lease as JSON, as stored on the platform.

use displaydoc::Display;
use mustardshed_core::{boundary::backend_server, process::placement::record};

/// Name of the object that holds the lease.
pub const LEASE_NAME: &str = "placement";

/// The placement lease as JSON.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Record {
    /// `VM.INCARNATION` of the holder.
    pub holder: String,
    /// Fencing number, from one.
    pub fence: u64,
    /// Sequence number of the write among those of its holder.
    pub nonce: u64,
    /// Loads that may be in progress.
    pub loads: Vec<Load>,
}

/// A load of model weights as JSON.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Load {
    /// Backend server.
    pub server: String,
    /// Order that starts it.
    pub order: Order,
}

/// An order as JSON.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model at a version.
    LoadModel {
        /// Model.
        model: String,
        /// Version.
        version: String,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Change the engine's role.
    ChangeRole {
        /// Role.
        role: String,
    },
}

/// Why a placement lease cannot be encoded or decoded.
#[derive(Debug, Display)]
pub enum RecordError {
    /// not a placement lease: {0}
    Json(serde_json::Error),
    /// fencing number zero is never used
    FenceZero,
}

impl std::error::Error for RecordError {}

impl From<backend_server::Order> for Order {
    fn from(order: backend_server::Order) -> Self {
        match order {
            backend_server::Order::LoadModel { model, version } => {
                Self::LoadModel { model, version }
            }
            backend_server::Order::LoadAdapter { adapter } => Self::LoadAdapter { adapter },
            backend_server::Order::ChangeRole { role } => Self::ChangeRole { role },
        }
    }
}

impl From<Order> for backend_server::Order {
    fn from(order: Order) -> Self {
        match order {
            Order::LoadModel { model, version } => Self::LoadModel { model, version },
            Order::LoadAdapter { adapter } => Self::LoadAdapter { adapter },
            Order::ChangeRole { role } => Self::ChangeRole { role },
        }
    }
}

impl From<record::WeightLoad> for Load {
    fn from(load: record::WeightLoad) -> Self {
        Self {
            server: load.server,
            order: load.order.into(),
        }
    }
}

impl From<Load> for record::WeightLoad {
    fn from(load: Load) -> Self {
        Self {
            server: load.server,
            order: load.order.into(),
        }
    }
}

impl From<record::Record> for Record {
    fn from(record: record::Record) -> Self {
        Self {
            holder: record.holder,
            fence: record.fence,
            nonce: record.nonce,
            loads: record.loads.into_iter().map(Load::from).collect(),
        }
    }
}

impl TryFrom<Record> for record::Record {
    type Error = RecordError;

    fn try_from(record: Record) -> Result<Self, Self::Error> {
        if record.fence == 0 {
            return Err(RecordError::FenceZero);
        }
        Ok(Self {
            holder: record.holder,
            fence: record.fence,
            nonce: record.nonce,
            loads: record
                .loads
                .into_iter()
                .map(record::WeightLoad::from)
                .collect(),
        })
    }
}

/// Encodes a placement lease.
///
/// # Errors
///
/// Returns an error if the lease cannot be written as JSON.
pub fn encode(record: &record::Record) -> Result<Vec<u8>, RecordError> {
    serde_json::to_vec(&Record::from(record.clone())).map_err(RecordError::Json)
}

/// Decodes a placement lease.
///
/// # Errors
///
/// Returns an error if `buf` is not JSON of a [`Record`] or its fencing number is zero.
pub fn decode(buf: &[u8]) -> Result<record::Record, RecordError> {
    let wire: Record = serde_json::from_slice(buf).map_err(RecordError::Json)?;
    wire.try_into()
}
