//! Client accounts.

use crate::reader::{read, section};

/// Default of `weight`.
const DEFAULT_WEIGHT: u32 = 1;
/// Greatest value of `weight`.
const MAX_WEIGHT: u32 = 1000;
/// Default of `max_running`.
const DEFAULT_MAX_RUNNING: u32 = 64;
/// Greatest value of `max_running`.
const MAX_RUNNING_LIMIT: u32 = 1_000_000;

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientAccount {
    /// Name.
    pub name: String,
    /// SHA-256 digests of its API keys.
    pub key_digests: Vec<[u8; 32]>,
    /// Weight in fair sharing between accounts.
    pub weight: u32,
    /// Most requests that it may have running at once on the whole fleet.
    pub max_running: u32,
    /// Services that it may use; empty for all.
    pub services: Vec<String>,
}

impl ClientAccount {
    /// Reads one table `[[client_account]]`; invalid values are reported and replaced by defaults.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::name);
        let key_digests = section.required("key_sha256", read::list(read::digest));
        let weight = section.optional("weight", DEFAULT_WEIGHT, read::u32_within(1, MAX_WEIGHT));
        let max_running = section.optional(
            "max_running",
            DEFAULT_MAX_RUNNING,
            read::u32_within(1, MAX_RUNNING_LIMIT),
        );
        let services = section.optional("services", Vec::new(), read::list(read::name));
        Self {
            name: name.unwrap_or_default(),
            key_digests: key_digests.unwrap_or_default(),
            weight: weight.unwrap_or_default(),
            max_running: max_running.unwrap_or_default(),
            services: services.unwrap_or_default(),
        }
    }
}
