//! Failure of one attempt, and what may follow it.

use mustardshed::core::{boundary::backend_server, error};

/// What may follow a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// No other attempt; the request ends with this error.
    Stop,
    /// Another attempt, without a charge to the retry budget, since this one reached no backend
    /// server.
    RetryFree,
    /// Another attempt after a pause, since the stewards of backend servers are changing.
    RetryLater,
    /// Another attempt if the retry budget allows it.
    Retry,
}

impl Next {
    /// Returns the name for the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::RetryFree => "again",
            Self::RetryLater => "later",
            Self::Retry => "retry",
        }
    }
}

/// Failure of one attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Error that the request ends with if no attempt follows.
    pub error: error::Error,
    /// What may follow.
    pub next: Next,
}

impl Failure {
    /// Returns a failure that ends the request.
    pub const fn stop(error: error::Error) -> Self {
        Self {
            error,
            next: Next::Stop,
        }
    }

    /// Returns the failure of an attempt that reached no backend server.
    pub const fn not_sent(error: error::Error) -> Self {
        Self {
            error,
            next: Next::RetryFree,
        }
    }

    /// Returns the failure to find a backend server.
    ///
    /// `is_transient` says that one is expected within seconds.
    pub fn no_server(message: &str, is_transient: bool) -> Self {
        Self {
            error: error::Error::not_run(error::ErrorKind::NoBackendServer, message),
            next: if is_transient {
                Next::RetryLater
            } else {
                Next::Stop
            },
        }
    }

    /// Returns the failure of a call that provably did not run.
    pub fn not_run(err: &backend_server::BackendServerError) -> Self {
        let kind = match err {
            backend_server::BackendServerError::Refused(_) => error::ErrorKind::Overloaded,
            _ => error::ErrorKind::NoBackendServer,
        };
        Self {
            error: error::Error::not_run(kind, err.to_string()),
            next: Next::Retry,
        }
    }

    /// Returns the failure of a call that may have run, wholly or in part.
    pub fn broken(err: &backend_server::BackendServerError) -> Self {
        Self {
            error: error::Error::failed(error::ErrorKind::BackendServerFailed, err.to_string()),
            next: Next::Retry,
        }
    }
}

/// Returns whether a failed call provably did not run.
pub const fn is_not_run(err: &backend_server::BackendServerError) -> bool {
    matches!(
        err,
        backend_server::BackendServerError::Refused(_)
            | backend_server::BackendServerError::Unreachable(_)
    )
}
