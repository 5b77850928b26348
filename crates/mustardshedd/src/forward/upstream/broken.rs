//! Why an exchange with a server broke off.

use std::{error, io, iter};

use displaydoc::Display;
use mustardshed::core::{error as core_error, forward::response_check};

/// {reason}
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub struct Broken {
    /// Reason for the log.
    pub reason: String,
    /// Whether the server closed the connection.
    pub is_closed: bool,
    /// What is wrong with the response, if it is invalid.
    pub invalid: Option<response_check::Invalid>,
}

impl Broken {
    /// Creates the reason for an error of a connection.
    #[must_use]
    pub fn new(e: &(dyn error::Error + 'static)) -> Self {
        let mut causes = iter::successors(Some(e), |e| e.source());
        Self {
            reason: core_error::with_causes(e),
            is_closed: causes.any(is_closed),
            invalid: None,
        }
    }
}

impl From<String> for Broken {
    fn from(reason: String) -> Self {
        Self {
            reason,
            is_closed: false,
            invalid: None,
        }
    }
}

impl From<response_check::Invalid> for Broken {
    fn from(invalid: response_check::Invalid) -> Self {
        Self {
            reason: invalid.to_string(),
            is_closed: false,
            invalid: Some(invalid),
        }
    }
}

impl From<Broken> for String {
    fn from(broken: Broken) -> Self {
        broken.reason
    }
}

fn is_closed(e: &(dyn error::Error + 'static)) -> bool {
    let is_incomplete = |e: &hyper::Error| e.is_incomplete_message();
    e.downcast_ref().is_some_and(is_incomplete) || e.downcast_ref().is_some_and(ends_connection)
}

fn ends_connection(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::BrokenPipe
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::UnexpectedEof
    )
}
