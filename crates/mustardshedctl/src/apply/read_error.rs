//! Errors of reading a configuration.

use displaydoc::Display;
use mustardshed::core::boundary::platform;

/// Failure to read a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ReadError {
    /// the platform failed: {0}
    Platform(platform::PlatformError),
    /// the platform's object is not a valid configuration record: {0}
    Invalid(String),
}

impl std::error::Error for ReadError {}

impl From<platform::PlatformError> for ReadError {
    fn from(err: platform::PlatformError) -> Self {
        Self::Platform(err)
    }
}
