//! Why a caller has no whole answer.

use displaydoc::Display;

/// Why a caller has no whole answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Error {
    /// answered with {status}: {body}
    Refused {
        /// HTTP status.
        status: u16,
        /// Body; `null` if it is no JSON.
        body: serde_json::Value,
    },
    /// broken off: {0}
    Broken(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the error's stable code.
    pub fn code(&self) -> Option<&str> {
        self.body()?["error"]["code"].as_str()
    }

    /// Returns what the entry says of the request's fate.
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

/// Makes the error of an answer that broke off or was not understood.
pub(super) fn broken(reason: impl ToString) -> Error {
    Error::Broken(reason.to_string())
}
