//! Why one way did not lead to a server.

use std::io;

use displaydoc::Display;

/// Why a server was not reached.
#[derive(Clone, Debug, Display)]
pub enum Failure {
    /// connection refused
    Refused,
    /// {0}
    Unreachable(String),
    /// the peer makes no connection
    Unavailable,
    /// the peer does not answer: {0}
    NoPeer(String),
}

impl Failure {
    /// Returns whether it says something of the server.
    pub(super) const fn is_of_server(&self) -> bool {
        matches!(self, Self::Refused | Self::Unreachable(_))
    }
}

impl From<io::Error> for Failure {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Unreachable(e.to_string()),
        }
    }
}
