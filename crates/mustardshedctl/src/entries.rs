//! Interface to the entries' operator API.

mod client;
mod error;
mod explain_query;

use std::fmt;

use async_trait::async_trait;
use mustardshed::{core::version::record, wire::operator};

pub use client::{Client, OpenError};
pub use error::EntryError;
pub use explain_query::ExplainQuery;

/// Operators' calls to entries; `address` is the `IP:PORT` where an entry serves callers.
#[async_trait]
pub trait Entries: fmt::Debug + Send + Sync {
    /// Announces a record that is about to be written.
    async fn intent(&self, address: &str, record: &record::Record) -> Result<(), EntryError>;

    /// Tells the entry of a record that the platform accepted.
    async fn commit(&self, address: &str, record: &record::Record) -> Result<(), EntryError>;

    /// Returns the entry's configuration generation, members and backend servers.
    async fn status(&self, address: &str) -> Result<operator::Status, EntryError>;

    /// Returns the fate of the request `id`.
    async fn request(&self, address: &str, id: &str) -> Result<serde_json::Value, EntryError>;

    /// Returns where a prompt would be routed, and why.
    async fn explain(
        &self,
        address: &str,
        query: &ExplainQuery,
    ) -> Result<serde_json::Value, EntryError>;
}
