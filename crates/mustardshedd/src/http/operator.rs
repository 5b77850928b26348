//! The boundary between operators' calls and the control thread.

use std::{collections, fmt};

use async_trait::async_trait;
use mustardshed::core::{error, version::record};

/// Operators' calls that need more than the snapshot of an entry.
#[async_trait]
pub trait Operator: fmt::Debug + Send + Sync {
    /// Records the intent to write a configuration; returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if this entry knows a newer generation or cannot store the intent.
    async fn intent(&self, record: record::Record) -> Result<Vec<u8>, error::Error>;

    /// Applies a written configuration; returns the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not valid.
    async fn commit(&self, record: record::Record) -> Result<Vec<u8>, error::Error>;

    /// Returns the number of calls to the platform so far, by purpose.
    fn platform_calls(&self) -> collections::BTreeMap<String, u64>;

    /// Returns the bytes sent and received so far, by kind of connection and direction.
    fn bytes(&self) -> collections::BTreeMap<String, u64>;

    /// Returns whether `key` is the operators' key; takes the same time for any key.
    fn is_operator_key(&self, key: &[u8]) -> bool;
}
