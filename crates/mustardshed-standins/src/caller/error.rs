//! Error of a caller that got no complete response.

use displaydoc::Display;

/// Error of a caller that got no complete response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Error {
    /// answered with {status}: {body}
    Refused {
        /// HTTP status.
        status: u16,
        /// Body; `null` if it is not JSON.
        body: serde_json::Value,
    },
    /// response cut off or invalid: {0}
    Broken(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the error's stable code.
    pub fn code(&self) -> Option<&str> {
        self.body()?["error"]["code"].as_str()
    }

    /// Returns the request's outcome as stated by the entry.
    pub fn outcome(&self) -> Option<&str> {
        self.body()?["outcome"].as_str()
    }

    const fn body(&self) -> Option<&serde_json::Value> {
        match self {
            Self::Refused { body, .. } => Some(body),
            Self::Broken(_) => None,
        }
    }
}

/// Creates the error of a response that was cut off or could not be parsed.
pub(super) fn broken(reason: impl ToString) -> Error {
    Error::Broken(reason.to_string())
}
