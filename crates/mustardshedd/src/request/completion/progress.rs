//! How far a prompt has come over all its attempts.

use mustardshed::core::{
    ids,
    request::{assembly, prefix},
};

use crate::request::{output, whole};

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
    pub is_changing: bool,
    /// Servers that were given the prompt.
    pub given: Vec<ids::BackendServerId>,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether any server ran the prompt, or may have run it, in part.
    pub may_have_run: bool,
    /// Prefixes of the prompt.
    pub marks: Vec<prefix::PrefixHash>,
    /// Last piece, which is held back until the fate is recorded.
    pub last: Option<output::Piece>,
    /// Output so far, if it is kept for repeats.
    pub kept: Option<whole::Whole>,
}

impl Progress {
    /// Makes the progress of a prompt that no server was given.
    pub fn new(id: ids::RequestId, keeps_output: bool) -> Self {
        Self {
            assembly: assembly::Assembly::new(id),
            tried: Vec::new(),
            denied: Vec::new(),
            is_changing: false,
            given: Vec::new(),
            attempts: 0,
            may_have_run: false,
            marks: Vec::new(),
            last: None,
            kept: keeps_output.then(whole::Whole::default),
        }
    }

    /// Adds a piece to the output that is kept for repeats.
    pub fn keep(&mut self, piece: &output::Piece) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        kept.text.push_str(&piece.text);
        kept.tokens += 1;
        if let Some(finish) = &piece.finish {
            kept.finish.clone_from(finish);
        }
    }
}
