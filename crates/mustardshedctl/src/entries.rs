//! The boundary to the entries' operator calls.

mod client;
mod error;
mod explain_query;

use std::fmt;

use async_trait::async_trait;
use mustardshed::{core::version::record, wire::operator};

pub use client::{Client, OpenError};
pub use error::EntryError;
pub use explain_query::ExplainQuery;

/// Operators' calls on entries, each named by its `IP:PORT` towards callers.
#[async_trait]
pub trait Entries: fmt::Debug + Send + Sync {
    /// Announces a record that is about to be written.
    async fn intent(&self, address: &str, record: &record::Record) -> Result<(), EntryError>;

    /// Tells of a record that the platform accepted.
    async fn commit(&self, address: &str, record: &record::Record) -> Result<(), EntryError>;

    /// Asks what is in force and who is known.
    async fn status(&self, address: &str) -> Result<operator::Status, EntryError>;

    /// Asks for the fate of a request.
    async fn request(&self, address: &str, id: &str) -> Result<serde_json::Value, EntryError>;

    /// Asks where a prompt would go and why.
    async fn explain(
        &self,
        address: &str,
        query: &ExplainQuery,
    ) -> Result<serde_json::Value, EntryError>;
}
