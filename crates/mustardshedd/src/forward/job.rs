//! Guard that counts one request as in flight.

use std::sync;

use mustardshed::{core::forward::ledger, wire::forward};

use crate::forward::cx;

/// Counts a request as in flight until dropped, at this entry and its peers.
#[derive(Debug)]
pub struct Job {
    cx: sync::Arc<cx::Cx>,
    key: ledger::JobKey,
    is_writing: bool,
}

impl Job {
    /// Takes over a request that the load tracker counts under `key`.
    #[must_use]
    pub const fn new(cx: sync::Arc<cx::Cx>, key: ledger::JobKey) -> Self {
        Self {
            cx,
            key,
            is_writing: false,
        }
    }

    /// Returns the number of the request, unique within this run of the process.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.key.number
    }

    /// Records an event of the response; the first one shows that the prompt has been processed.
    pub fn event(&mut self) {
        if self.is_writing {
            return;
        }
        self.is_writing = true;
        let now = self.cx.now();
        self.cx.state().ledger.first_event(&self.key, now);
        let number = self.key.number;
        self.cx.peers.send(&forward::Message::FirstEvent { number });
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        let now = self.cx.now();
        self.cx.state().ledger.end(&self.key, now);
        let number = self.key.number;
        self.cx.peers.send(&forward::Message::Ended { number });
    }
}
