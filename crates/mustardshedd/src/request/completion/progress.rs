//! Progress of a prompt over all its attempts.

use mustardshed::core::{
    ids,
    request::{assembly, prefix},
};

use crate::request::{full_output, output};

/// Progress of a prompt over all its attempts.
#[derive(Debug)]
pub struct Progress {
    /// Assembly of the output from the frames of all streams.
    pub assembly: assembly::Assembly,
    /// Servers that the prompt was sent to by any attempt; they are not tried again.
    pub tried: Vec<ids::BackendServerId>,
    /// Servers for which a credit was refused since the last pause.
    pub denied: Vec<ids::BackendServerId>,
    /// Whether the last refused credit was refused because stewards are changing.
    pub is_steward_changing: bool,
    /// Servers that ran the prompt or may have run it, with all engines of a gang.
    pub sent_to: Vec<ids::BackendServerId>,
    /// Number of attempts so far.
    pub attempt_count: u32,
    /// Whether any server ran the prompt or may have run it, even in part.
    pub may_have_run: bool,
    /// Prefix hashes of the prompt; empty until they are computed.
    pub prefix_hashes: Vec<prefix::PrefixHash>,
    /// Last chunk, which is held back until the fate is recorded.
    pub last_chunk: Option<output::Chunk>,
    /// Output so far, if it is stored for duplicates.
    pub stored_output: Option<full_output::FullOutput>,
}

impl Progress {
    /// Creates the progress of a prompt that was sent to no server yet.
    pub fn new(id: ids::RequestId, stores_output: bool) -> Self {
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
            stored_output: stores_output.then(full_output::FullOutput::default),
        }
    }

    /// Appends a chunk to the output that is stored for duplicates.
    pub fn store(&mut self, chunk: &output::Chunk) {
        let Some(output) = &mut self.stored_output else {
            return;
        };
        output.text.push_str(&chunk.text);
        output.tokens += 1;
        if let Some(finish) = &chunk.finish {
            output.finish.clone_from(finish);
        }
    }
}
