//! Models.

use crate::reader::{read, section};

/// Greatest length of a prompt with its output, in tokens.
const CONTEXT_TOKENS: u64 = 1_000_000_000;
/// Bytes of prompt text for one token unless the text says otherwise.
const BYTES_PER_TOKEN: u32 = 4;
/// Greatest number of bytes for one token.
const MAX_BYTES_PER_TOKEN: u32 = 64;

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Engine kind that runs it.
    pub engine_kind: String,
    /// Version to be loaded.
    pub version: String,
    /// Prompt and output at most, in tokens.
    pub context_tokens: u64,
    /// Bytes of prompt text for one token.
    pub bytes_per_token: u32,
    /// Adapters to be loaded.
    pub adapters: Vec<String>,
}

impl Model {
    /// Reads one table `[[model]]`; a value that is reported as a problem stands as its default.
    pub(super) fn read(section: &section::Section<'_, '_>) -> Self {
        let name = section.required("name", read::model_name);
        let engine_kind = section.required("engine_kind", read::name);
        let version = section.required("version", read::model_name);
        let context_tokens =
            section.required("context_tokens", read::u64_within(1, CONTEXT_TOKENS));
        let bytes_per_token = section.optional(
            "bytes_per_token",
            BYTES_PER_TOKEN,
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
