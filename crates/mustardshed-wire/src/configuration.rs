//! The configuration record as JSON, as stored on the platform and sent in operators' calls.

use std::collections;

use displaydoc::Display;
use mustardshed_core::version::record;

/// A configuration record as JSON.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Generation, from one.
    pub generation: u64,
    /// Configuration text of the operators.
    pub text: String,
    /// Data centres out of service.
    pub data_centres_out: collections::BTreeSet<String>,
    /// Writer's nonce.
    pub nonce: String,
    /// Writer's name.
    pub author: String,
}

/// Why a configuration record cannot be encoded or decoded.
#[derive(Debug, Display)]
pub enum RecordError {
    /// not a configuration record: {0}
    Json(serde_json::Error),
    /// generation zero is never accepted
    GenerationZero,
}

impl std::error::Error for RecordError {}

impl From<record::Record> for Record {
    fn from(record: record::Record) -> Self {
        Self {
            generation: record.generation,
            text: record.text,
            data_centres_out: record.data_centres_out,
            nonce: record.nonce,
            author: record.author,
        }
    }
}

impl TryFrom<Record> for record::Record {
    type Error = RecordError;

    fn try_from(record: Record) -> Result<Self, Self::Error> {
        if record.generation == 0 {
            return Err(RecordError::GenerationZero);
        }
        Ok(Self {
            generation: record.generation,
            text: record.text,
            data_centres_out: record.data_centres_out,
            nonce: record.nonce,
            author: record.author,
        })
    }
}

/// Encodes a record.
///
/// # Errors
///
/// Returns an error if the record cannot be written as JSON.
pub fn encode(record: &record::Record) -> Result<Vec<u8>, RecordError> {
    serde_json::to_vec(&Record::from(record.clone())).map_err(RecordError::Json)
}

/// Decodes a record.
///
/// # Errors
///
/// Returns an error if `buf` is not JSON of a [`Record`] or its generation is zero.
pub fn decode(buf: &[u8]) -> Result<record::Record, RecordError> {
    let wire: Record = serde_json::from_slice(buf).map_err(RecordError::Json)?;
    wire.try_into()
}
