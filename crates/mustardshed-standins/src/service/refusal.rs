//! Why a plain service did not execute a call.

use displaydoc::Display;

/// Why a call was not executed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Refusal {
    /// the service is dead
    Dead,
    /// the service is down after an overload
    FellOver,
    /// the service is leaving
    Leaving,
    /// too many calls are running
    TooManyRunning,
}

impl Refusal {
    /// Returns the HTTP status; `None` if the connection is closed without a response.
    pub const fn status(self) -> Option<u16> {
        match self {
            Self::Dead => None,
            Self::FellOver | Self::Leaving => Some(503),
            Self::TooManyRunning => Some(429),
        }
    }
}

impl std::error::Error for Refusal {}
