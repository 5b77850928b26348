//! One request in flight, counted for as long as it lives.

use std::sync;

use mustardshed::{core::forward::load_tracker, wire::forward};

use crate::forward::cx;

/// A request that counts as in flight until this is dropped.
#[derive(Debug)]
pub struct Job {
    cx: sync::Arc<cx::Cx>,
    key: load_tracker::JobKey,
    is_writing: bool,
}

impl Job {
    /// Takes over a request that was counted under `key`.
    #[must_use]
    pub const fn new(cx: sync::Arc<cx::Cx>, key: load_tracker::JobKey) -> Self {
        Self {
            cx,
            key,
            is_writing: false,
        }
    }

    /// Returns the number of the request in this run of the process.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.key.number
    }

    /// Takes an event of the answer; the first one tells that the prompt is read.
    pub fn event(&mut self) {
        if self.is_writing {
            return;
        }
        self.is_writing = true;
        let now = self.cx.now();
        self.cx.state().ledger.record_first_event(&self.key, now);
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
