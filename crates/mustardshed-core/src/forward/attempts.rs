//! Limits on how often a request is sent.
//!
//! Load pattern addressed: many servers disappear at once, as when a data centre loses power.
//! Servers that nobody has tried since look idle, so that one request after another meets closed
//! ports while the other servers have room. An attempt that reaches no server costs others nothing;
//! only rejections by servers show that the fleet is full.

/// Rejections after which a request is given up; a fleet that rejects this often is full.
const MAX_REJECTIONS: u32 = 3;
/// Attempts that reach no server after which a request is given up; each takes a round trip.
const MAX_UNDELIVERED: u32 = 12;

/// Attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Attempts {
    runs: u32,
    rejected: u32,
    undelivered: u32,
}

impl Attempts {
    /// Records that the request ran or may have run.
    pub const fn record_run(&mut self) {
        self.runs += 1;
    }

    /// Records that the request has not run, and whether it reached the server that was to run it.
    pub const fn record_not_run(&mut self, was_delivered: bool) {
        if was_delivered {
            self.rejected += 1;
        } else {
            self.undelivered += 1;
        }
    }

    /// Returns how often the request ran or may have run.
    #[must_use]
    pub const fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns the total number of attempts.
    #[must_use]
    pub const fn count(&self) -> u32 {
        self.runs + self.rejected + self.undelivered
    }

    /// Returns whether a request that has not run may be sent to another server.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        self.rejected < MAX_REJECTIONS && self.undelivered < MAX_UNDELIVERED
    }
}
