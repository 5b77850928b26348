//! Models.

use crate::reader::{read, section};

/// Greatest value of `context_tokens`.
const MAX_CONTEXT_TOKENS: u64 = 1_000_000_000;
/// Default of `bytes_per_token`.
const DEFAULT_BYTES_PER_TOKEN: u32 = 4;
/// Greatest value of `bytes_per_token`.
const MAX_BYTES_PER_TOKEN: u32 = 64;

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Engine kind that runs it.
    pub engine_kind: String,
    /// Version to load.
    pub version: String,
    /// Greatest length of a prompt with its output, in tokens.
    pub context_tokens: u64,
    /// Bytes of prompt text assumed per token.
    pub bytes_per_token: u32,
    /// Adapters to load.
    pub adapters: Vec<String>,
}

impl Model {
    /// Reads one table `[[model]]`; invalid values are reported and replaced by defaults.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::model_name);
        let engine_kind = section.required("engine_kind", read::name);
        let version = section.required("version", read::model_name);
        let context_tokens =
            section.required("context_tokens", read::u64_within(1, MAX_CONTEXT_TOKENS));
        let bytes_per_token = section.optional(
            "bytes_per_token",
            DEFAULT_BYTES_PER_TOKEN,
            read::u32_within(1, MAX_BYTES_PER_TOKEN),
        );
        let adapters = section.optional("adapters", Vec::new(), read::list(read::model_name));
        Self {
            name: name.unwrap_or_default(),
            engine_kind: engine_kind.unwrap_or_default(),
            version: version.unwrap_or_default(),
            context_tokens: context_tokens.unwrap_or_default(),
            bytes_per_token: bytes_per_token.unwrap_or_default(),
            adapters: adapters.unwrap_or_default(),
        }
    }
}
