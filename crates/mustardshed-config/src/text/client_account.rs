//! Client accounts.

use crate::reader::{read, section};

/// Weight of an account's fair share unless the text says otherwise.
const WEIGHT: u32 = 1;
/// Greatest weight of an account's fair share.
const MAX_WEIGHT: u32 = 1000;
/// Requests that an account may have running at once unless the text says otherwise.
const MAX_RUNNING: u32 = 64;
/// Greatest number of requests that an account may have running at once.
const GREATEST_MAX_RUNNING: u32 = 1_000_000;

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

impl ClientAccount {
    /// Reads one table `[[client_account]]`; a value that is reported as a problem stands as its default.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::name);
        let key_digests = section.required("key_sha256", read::list(read::digest));
        let weight = section.optional("weight", WEIGHT, read::u32_within(1, MAX_WEIGHT));
        let max_running = section.optional(
            "max_running",
            MAX_RUNNING,
            read::u32_within(1, GREATEST_MAX_RUNNING),
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
