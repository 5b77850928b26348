//! A crash of a server.

use crate::{forward::quarantine::Suspect, ids};

/// Most suspects of one crash that are kept; a server answers fewer requests at a time.
const MAX_SUSPECTS: usize = 64;

/// A crash of a server and the requests that may have caused it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Name of the server.
    pub server: ids::BackendServerId,
    /// Start of the run that crashed in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
    /// When it crashed.
    pub at: ids::Timestamp,
    /// Requests that it had not begun to answer.
    pub suspects: Vec<Suspect>,
}

impl Crash {
    /// Returns whether one request had all of these parts.
    pub(super) fn is_explained_by(&self, parts: &[ids::PromptPartId]) -> bool {
        let has_all = |suspect: &Suspect| parts.iter().all(|part| suspect.shared.contains(part));
        self.suspects.iter().any(has_all)
    }

    /// Adds suspects that another entry reports.
    pub(super) fn add(&mut self, suspects: Vec<Suspect>) {
        for suspect in suspects {
            let is_full = self.suspects.len() >= MAX_SUSPECTS;
            if !is_full && !self.suspects.contains(&suspect) {
                self.suspects.push(suspect);
            }
        }
    }

    /// Clears the parts for which `is_sound` returns true.
    pub(super) fn clear(&mut self, is_sound: impl Fn(&str) -> bool) {
        for suspect in &mut self.suspects {
            suspect.shared.retain(|part| !is_sound(part));
        }
        self.suspects.retain(|suspect| !suspect.shared.is_empty());
    }
}
