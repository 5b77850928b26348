//! Guard that counts one request as in flight.

use std::sync;

use mustardshed::{core::forward::load_tracker, wire::forward};

use crate::forward::cx;

/// Counts a request as in flight until dropped, at this entry and its peers.
#[derive(Debug)]
pub struct JobGuard {
    cx: sync::Arc<cx::Cx>,
    key: load_tracker::JobKey,
    has_first_event: bool,
}

impl JobGuard {
    /// Takes over a request that the load tracker counts under `key`.
    #[must_use]
    pub const fn new(cx: sync::Arc<cx::Cx>, key: load_tracker::JobKey) -> Self {
        Self {
            cx,
            key,
            has_first_event: false,
        }
    }

    /// Returns the number of the request, unique within this run of the process.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.key.number
    }

    /// Records an event of the response; the first one shows that the prompt has been processed.
    pub fn record_event(&mut self) {
        if self.has_first_event {
            return;
        }
        self.has_first_event = true;
        let now = self.cx.now();
        self.cx.state().loads.record_first_event(&self.key, now);
        let number = self.key.number;
        self.cx.peers.send(&forward::Message::FirstEvent { number });
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let now = self.cx.now();
        self.cx.state().loads.end(&self.key, now);
        let number = self.key.number;
        self.cx.peers.send(&forward::Message::Ended { number });
    }
}
