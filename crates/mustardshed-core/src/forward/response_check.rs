//! Which responses of a server are invalid, and thus failures of the server.
//!
//! A server in trouble may send a head that no response has, or end a response early in a way that
//! its framing does not show. Such a response is not passed on; the request may have run.

use displaydoc::Display;

/// Statuses that a response may have.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// Status of a response after which the connection carries another protocol; no entry asks for it.
const SWITCHING_PROTOCOLS: u16 = 101;

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Invalid {
    /// the response has the status {0}
    Status(u16),
    /// the response switches to another protocol
    Switched,
}

impl Invalid {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::Switched => "switched",
        }
    }
}

/// What the head of a response says of its form.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// Status code.
    pub status: u16,
}

impl Head {
    /// Checks a head.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if no server that works sends such a head.
    pub fn validate(&self) -> Result<(), Invalid> {
        if !STATUSES.contains(&self.status) {
            return Err(Invalid::Status(self.status));
        }
        if self.status == SWITCHING_PROTOCOLS {
            return Err(Invalid::Switched);
        }
        Ok(())
    }
}
