//! The boundary between operators' calls and the control thread.

use std::{collections, fmt};

use async_trait::async_trait;
use mustardshed::core::{error, version::record};

/// What operators ask of an entry beyond its snapshot.
#[async_trait]
pub trait Operator: fmt::Debug + Send + Sync {
    /// Takes note of a configuration that is about to be written; returns the JSON of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if this entry knows a newer generation or cannot keep the intent.
    async fn intent(&self, record: record::Record) -> Result<Vec<u8>, error::Error>;

    /// Takes a configuration into force; returns the JSON of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not valid.
    async fn commit(&self, record: record::Record) -> Result<Vec<u8>, error::Error>;

    /// Returns the calls of the platform so far, by purpose.
    fn platform_calls(&self) -> collections::BTreeMap<String, u64>;

    /// Returns the bytes sent and received so far, by kind of connection and direction.
    fn bytes(&self) -> collections::BTreeMap<String, u64>;

    /// Returns whether `key` is the operators' key; takes the same time for any key.
    fn is_operator_key(&self, key: &[u8]) -> bool;
}
