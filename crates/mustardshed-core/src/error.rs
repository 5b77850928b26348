//! The closed list of error kinds, each with its response.

use std::{fmt, time};

use displaydoc::Display;

/// Kind of an error that callers or operators can receive.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum ErrorKind {
    /// the key is missing or belongs to no client account
    Unauthenticated,
    /// the client account may not use this
    Forbidden,
    /// the request is malformed
    InvalidRequest,
    /// the request or its headers are larger than allowed
    TooLarge,
    /// the prompt and the requested output exceed what the model takes
    PromptTooLong,
    /// no such model
    UnknownModel,
    /// no such service
    UnknownService,
    /// no such request
    UnknownRequest,
    /// no such path
    NotFound,
    /// the method is not allowed on this path
    MethodNotAllowed,
    /// the idempotency key was used before with another body
    KeyReused,
    /// a request with this idempotency key is still running
    KeyInProgress,
    /// the client account is over its limits
    AccountLimit,
    /// the request cannot be served within its deadline
    Overloaded,
    /// a service that this one depends on cannot serve in time
    DependencyOverloaded,
    /// no backend server may be given new work
    NoBackendServer,
    /// this entry cannot confirm its configuration
    ConfigurationStale,
    /// the platform cannot be reached, and the request needs it
    PlatformUnavailable,
    /// this entry is leaving
    Leaving,
    /// the deadline passed
    DeadlineExceeded,
    /// the backend server failed while it worked on the request
    BackendServerFailed,
    /// the fate of the request cannot be told
    FateUnknown,
    /// the configuration changed since it was read
    ConfigurationConflict,
    /// the configuration text is not valid
    ConfigurationInvalid,
    /// a fault in this process
    Internal,
}

/// Response to a caller for an [`ErrorKind`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Stable code in the response body.
    pub code: &'static str,
    /// Type in the OpenAI error format.
    pub class: &'static str,
    /// Delay after which a retry may succeed; `None` if retrying does not help.
    pub retry_after: Option<time::Duration>,
}

const SOON: Option<time::Duration> = Some(time::Duration::from_secs(1));
const LATER: Option<time::Duration> = Some(time::Duration::from_secs(5));

const INVALID: &str = "invalid_request_error";
const AUTHENTICATION: &str = "authentication_error";
const PERMISSION: &str = "permission_error";
const RATE_LIMIT: &str = "rate_limit_error";
const SERVER: &str = "server_error";

impl ErrorKind {
    /// Every kind, in the order of the documentation.
    pub const ALL: [Self; 25] = [
        Self::Unauthenticated,
        Self::Forbidden,
        Self::InvalidRequest,
        Self::TooLarge,
        Self::PromptTooLong,
        Self::UnknownModel,
        Self::UnknownService,
        Self::UnknownRequest,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::KeyReused,
        Self::KeyInProgress,
        Self::AccountLimit,
        Self::Overloaded,
        Self::DependencyOverloaded,
        Self::NoBackendServer,
        Self::ConfigurationStale,
        Self::PlatformUnavailable,
        Self::Leaving,
        Self::DeadlineExceeded,
        Self::BackendServerFailed,
        Self::FateUnknown,
        Self::ConfigurationConflict,
        Self::ConfigurationInvalid,
        Self::Internal,
    ];

    /// Returns the kind with this stable code, if there is one.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_response().code == code)
    }

    /// Returns the response for this kind.
    pub const fn to_response(self) -> ErrorResponse {
        match self {
            Self::Unauthenticated => response(401, "invalid_api_key", AUTHENTICATION, None),
            Self::Forbidden => response(403, "forbidden", PERMISSION, None),
            Self::InvalidRequest => response(400, "invalid_request", INVALID, None),
            Self::TooLarge => response(413, "too_large", INVALID, None),
            Self::PromptTooLong => response(400, "context_length_exceeded", INVALID, None),
            Self::UnknownModel => response(404, "model_not_found", INVALID, None),
            Self::UnknownService => response(404, "service_not_found", INVALID, None),
            Self::UnknownRequest => response(404, "request_not_found", INVALID, None),
            Self::NotFound => response(404, "not_found", INVALID, None),
            Self::MethodNotAllowed => response(405, "method_not_allowed", INVALID, None),
            Self::KeyReused => response(422, "idempotency_key_reused", INVALID, None),
            Self::KeyInProgress => response(409, "idempotency_key_in_progress", INVALID, SOON),
            Self::AccountLimit => response(429, "account_limit", RATE_LIMIT, SOON),
            Self::Overloaded => response(429, "overloaded", RATE_LIMIT, SOON),
            Self::DependencyOverloaded => response(503, "dependency_overloaded", SERVER, SOON),
            Self::NoBackendServer => response(503, "no_backend_server", SERVER, LATER),
            Self::ConfigurationStale => response(503, "configuration_stale", SERVER, SOON),
            Self::PlatformUnavailable => response(503, "platform_unavailable", SERVER, LATER),
            Self::Leaving => response(503, "entry_leaving", SERVER, SOON),
            Self::DeadlineExceeded => response(504, "deadline_exceeded", SERVER, SOON),
            Self::BackendServerFailed => response(502, "backend_server_failed", SERVER, SOON),
            Self::FateUnknown => response(502, "fate_unknown", SERVER, None),
            Self::ConfigurationConflict => response(409, "configuration_conflict", INVALID, None),
            Self::ConfigurationInvalid => response(422, "configuration_invalid", INVALID, None),
            Self::Internal => response(500, "internal", SERVER, SOON),
        }
    }
}

const fn response(
    status: u16,
    code: &'static str,
    class: &'static str,
    retry_after: Option<time::Duration>,
) -> ErrorResponse {
    ErrorResponse {
        status,
        code,
        class,
        retry_after,
    }
}

/// An [`ErrorKind`] with a message, whether the work ran, and when to retry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Kind, from the closed list.
    pub kind: ErrorKind,
    /// Human-readable message; it never contains a key or a prompt.
    pub message: String,
    /// What is known of the request's fate.
    pub outcome: crate::outcome::Outcome,
    /// Delay after which a retry may succeed; overrides the kind's default.
    pub retry_after: Option<time::Duration>,
}

impl Error {
    /// Makes an error for work that was sent to no backend server.
    pub fn not_run(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::with_outcome(kind, crate::outcome::Outcome::NotRun, message)
    }

    /// Makes an error for work that ran, or may have run, in part.
    pub fn failed(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::with_outcome(kind, crate::outcome::Outcome::Failed, message)
    }

    /// Makes an error for work that may or may not have run.
    pub fn unknown(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self::with_outcome(kind, crate::outcome::Outcome::Unknown, message)
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub const fn retry_after(mut self, delay: time::Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    fn with_outcome(
        kind: ErrorKind,
        outcome: crate::outcome::Outcome,
        message: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            message: message.into(),
            outcome,
            retry_after: kind.to_response().retry_after,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Error {}

/// Returns the message of an error with those of its causes, the outermost first.
#[must_use]
pub fn with_causes(e: &dyn std::error::Error) -> String {
    match e.source() {
        Some(source) => format!("{e}: {}", with_causes(source)),
        None => e.to_string(),
    }
}
