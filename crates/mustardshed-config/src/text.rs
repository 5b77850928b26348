//! Configuration of the fleet: data centres, engine kinds, models, services, client accounts.

mod backing;
mod checks;
mod client_account;
mod data_centre;
mod engine_kind;
mod fencing;
mod model;
mod service;
mod tables;

use std::collections;

pub use backing::Backing;
pub use client_account::ClientAccount;
pub use data_centre::DataCentre;
pub use engine_kind::EngineKind;
pub use fencing::Fencing;
pub use model::Model;
pub use service::Service;

use crate::{problem, reader};

/// Greatest size of a configuration, in bytes: an object of the platform holds 1 MB, including what
/// is stored with the configuration.
pub const MAX_TEXT_BYTES: usize = 900 * 1024;

/// Most engines that can share one prompt.
pub const MAX_GANG_SERVERS: u64 = 8;

/// Validated configuration of the fleet, as the operators wrote it.
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

/// Parses and validates a configuration, a TOML document.
///
/// # Errors
///
/// Returns every problem found, ordered by line. A configuration that is not TOML, or longer than
/// [`MAX_TEXT_BYTES`], is not checked further.
pub fn parse(source: &str) -> Result<Text, Vec<problem::Problem>> {
    reader::document(source, MAX_TEXT_BYTES, |report, root| {
        let tables = tables::Tables::read(root);
        checks::check(report, &tables);
        Some(tables.into_text())
    })
}
