//! A crash of a server.

use std::time;

use crate::{forward::repeated_crashes::Fingerprint, ids};

/// Most suspects of one crash that are kept; a server answers fewer requests at a time.
const MAX_ATTEMPTS: usize = 64;

/// A crash of a server and the attempts that may have caused it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Name of the server.
    pub server: ids::BackendServerId,
    /// Start of the run that crashed in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
    /// When it crashed.
    pub at: ids::Timestamp,
    /// Attempts that it had not begun to answer.
    pub attempts: Vec<Attempt>,
}

/// An attempt at a server that crashed before it began to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: Fingerprint,
    /// Time from sending the request to the crash, if equal requests are usual, so that several
    /// servers that are lost together may have had them.
    pub lasted: Option<time::Duration>,
}

impl Crash {
    /// Returns the attempt of a request, if it is among the suspects.
    pub(super) fn attempt(&self, request: Fingerprint) -> Option<&Attempt> {
        let mut attempts = self.attempts.iter();
        attempts.find(|attempt| attempt.request == request)
    }

    /// Returns whether only one request can have caused the crash.
    pub(super) fn has_one_suspect(&self) -> bool {
        self.attempts.len() == 1
    }

    /// Adds attempts that another entry reports.
    pub(super) fn add(&mut self, attempts: Vec<Attempt>) {
        for attempt in attempts {
            if self.attempts.len() < MAX_ATTEMPTS && self.attempt(attempt.request).is_none() {
                self.attempts.push(attempt);
            }
        }
    }

    /// Clears a request.
    pub(super) fn clear(&mut self, request: Fingerprint) {
        self.attempts.retain(|attempt| attempt.request != request);
    }
}
