//! Measured outcome and latencies of one request.

use std::time;

use crate::load::{arrival, outcome};

/// Kind of receiver that a request was sent to.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Via {
    /// An entry.
    Entry,
    /// The engine, directly.
    Direct,
}

impl Via {
    /// Returns the name in reports.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Direct => "direct",
        }
    }
}

/// Outcome and latencies of one request, measured from the intended send time.
#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub(super) arrival: arrival::Arrival,
    pub(super) via: Via,
    pub(super) outcome: outcome::Outcome,
    /// Number of failed connection attempts.
    pub(super) refused_connections: u32,
    pub(super) first_token: Option<time::Duration>,
    pub(super) between_tokens: Vec<time::Duration>,
    pub(super) total: time::Duration,
}
