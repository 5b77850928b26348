//! Why an engine refuses a call; a refused call has run nothing.

use displaydoc::Display;
use serde::Serialize;

/// Why an engine refused a call.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// malformed request
    BadRequest,
    /// body too large
    BodyTooLarge,
    /// no such request
    NoSuchRequest,
    /// no such path
    NoSuchPath,
    /// no such model
    NoSuchModel,
    /// request id already in use
    KnownId,
    /// not enough KV memory
    NoMemory,
    /// too many requests running
    TooManyRunning,
    /// reservation missing or too small
    NoReservation,
    /// an engine of the gang did not take part
    GangIncomplete,
    /// fencing number older than the greatest seen
    OldFence,
    /// engine is leaving
    Leaving,
    /// engine is down after an overload
    FellOver,
}

impl Refusal {
    /// Returns the HTTP status.
    pub const fn status(self) -> http::StatusCode {
        match self {
            Self::BadRequest => http::StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => http::StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoSuchRequest | Self::NoSuchPath | Self::NoSuchModel => {
                http::StatusCode::NOT_FOUND
            }
            Self::KnownId => http::StatusCode::CONFLICT,
            Self::GangIncomplete | Self::NoMemory | Self::NoReservation | Self::TooManyRunning => {
                http::StatusCode::TOO_MANY_REQUESTS
            }
            Self::OldFence => http::StatusCode::PRECONDITION_FAILED,
            Self::Leaving | Self::FellOver => http::StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
