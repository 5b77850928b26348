//! Which responses of a server are invalid, and thus failures of the server.
//!
//! A server in trouble may send a head that no response has, or end a response early in a way that
//! its framing does not show. Its response may also have a status by which clients know that a
//! request has not run, though nothing shows that. Such a response is not passed on; the request may
//! have run.

use displaydoc::Display;

/// Statuses that a response may have.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;
/// Status of a response after which the connection carries another protocol; no entry asks for it.
const SWITCHING_PROTOCOLS: u16 = 101;
/// Statuses by which clients know that their request has not run and never will: they repeat it,
/// even if it may run only once.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Invalid {
    /// the response has the status {0}
    Status(u16),
    /// the response switches to another protocol
    Switched,
    /// a response without a length ended before the request was written
    Unfinished,
    /// the response has the status {0}, but does not state that the request has not run
    Unproven(u16),
}

impl Invalid {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::Switched => "switched",
            Self::Unfinished => "unfinished",
            Self::Unproven(_) => "unproven",
        }
    }
}

/// Checks the status of a response that does not state that the request has not run.
///
/// # Errors
///
/// Returns an error if clients would conclude that from the status.
pub fn validate_run(status: u16) -> Result<(), Invalid> {
    if NOT_RUN_STATUSES.contains(&status) {
        return Err(Invalid::Unproven(status));
    }
    Ok(())
}

/// What the head of a response says of its form.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// Status code.
    pub status: u16,
    /// Whether it states the length of the body.
    pub has_length: bool,
    /// Whether it states a transfer encoding.
    pub has_transfer_encoding: bool,
    /// Whether a body follows.
    pub has_body: bool,
}

/// How the end of a response's body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By its length, its last chunk, or because there is no body.
    Delimited,
    /// By the end of the connection.
    UntilClose,
}

impl Head {
    /// Checks a head and returns how the end of the body is known.
    ///
    /// # Errors
    ///
    /// Returns what is wrong if no server that works sends such a head.
    pub fn validate(&self) -> Result<Framing, Invalid> {
        if !STATUSES.contains(&self.status) {
            return Err(Invalid::Status(self.status));
        }
        if self.status == SWITCHING_PROTOCOLS {
            return Err(Invalid::Switched);
        }
        let is_delimited = self.has_length || self.has_transfer_encoding || !self.has_body;
        Ok(if is_delimited {
            Framing::Delimited
        } else {
            Framing::UntilClose
        })
    }
}

impl Framing {
    /// Checks the end of a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the end of the connection does not show that the body is complete: a
    /// server that ends a connection without reading the request may have failed.
    pub fn validate_end(self, is_request_written: bool) -> Result<(), Invalid> {
        if self == Self::UntilClose && !is_request_written {
            return Err(Invalid::Unfinished);
        }
        Ok(())
    }
}
