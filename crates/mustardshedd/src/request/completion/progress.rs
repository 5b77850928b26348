//! How far a prompt has come over all its attempts.

use mustardshed::core::{
    ids,
    request::{assembly, prefix},
};

use crate::request::{full_output, output};

/// How far a prompt has come over all its attempts.
#[derive(Debug)]
pub struct Progress {
    /// Assembly of the output.
    pub assembly: assembly::Assembly,
    /// Servers that are not to be tried again.
    pub tried: Vec<ids::BackendServerId>,
    /// Servers whose credits were refused since the last pause.
    pub denied: Vec<ids::BackendServerId>,
    /// Whether a credit was refused because stewards change.
    pub is_steward_changing: bool,
    /// Servers that were given the prompt.
    pub sent_to: Vec<ids::BackendServerId>,
    /// Attempts so far.
    pub attempt_count: u32,
    /// Whether any server ran the prompt, or may have run it, in part.
    pub may_have_run: bool,
    /// Prefixes of the prompt.
    pub prefix_hashes: Vec<prefix::PrefixHash>,
    /// Last piece, which is held back until the fate is recorded.
    pub last_chunk: Option<output::Chunk>,
    /// Output so far, if it is kept for repeats.
    pub stored_output: Option<full_output::FullOutput>,
}

impl Progress {
    /// Makes the progress of a prompt that no server was given.
    pub fn new(id: ids::RequestId, keeps_output: bool) -> Self {
        Self {
            assembly: assembly::Assembly::new(id),
            tried: Vec::new(),
            denied: Vec::new(),
            is_steward_changing: false,
            sent_to: Vec::new(),
            attempt_count: 0,
            may_have_run: false,
            prefix_hashes: Vec::new(),
            last_chunk: None,
            stored_output: keeps_output.then(full_output::FullOutput::default),
        }
    }

    /// Adds a piece to the output that is kept for repeats.
    pub fn store(&mut self, piece: &output::Chunk) {
        let Some(kept) = &mut self.stored_output else {
            return;
        };
        kept.text.push_str(&piece.text);
        kept.tokens += 1;
        if let Some(finish) = &piece.finish {
            kept.finish.clone_from(finish);
        }
    }
}
