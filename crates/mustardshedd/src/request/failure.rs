//! Why one attempt failed and what may follow it.

use mustardshed::core::{boundary::backend_server, error};

/// What may follow a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Nothing; the request ends with this error.
    Stop,
    /// Another attempt that costs nothing, since no backend server saw this one.
    RetryFree,
    /// Another attempt after a pause, since the stewards of backend servers change.
    RetryLater,
    /// Another attempt within the retry budget.
    Retry,
}

impl Next {
    /// Returns the name that the log shows.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::RetryFree => "again",
            Self::RetryLater => "later",
            Self::Retry => "retry",
        }
    }
}

/// Why one attempt failed.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Error to end with if no attempt follows.
    pub error: error::Error,
    /// What may follow.
    pub next: Next,
}

impl Failure {
    /// Makes a failure that ends the request.
    pub const fn stop(error: error::Error) -> Self {
        Self {
            error,
            next: Next::Stop,
        }
    }

    /// Makes a failure that no backend server saw.
    pub const fn not_sent(error: error::Error) -> Self {
        Self {
            error,
            next: Next::RetryFree,
        }
    }

    /// Makes the failure to find a server; `may_change` says that one is expected soon.
    pub fn no_server(message: &str, may_change: bool) -> Self {
        Self {
            error: error::Error::not_run(error::ErrorKind::NoBackendServer, message),
            next: if may_change {
                Next::RetryLater
            } else {
                Next::Stop
            },
        }
    }

    /// Makes the failure of a call that provably did not run.
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

    /// Makes the failure of a call that ran, or may have run, in part.
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
