//! Limits of the listener.

use std::time;

use mustardshed::config::settings;

/// Limits of the listener for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Connections at once.
    pub max_connections: usize,
    /// Length of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Length of a request's line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Time in which a body must go on.
    pub idle_timeout: time::Duration,
    /// Time in which a request's headers must have come, from the end of the request before.
    pub header_timeout: time::Duration,
    /// Requests at once.
    pub max_in_flight: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            max_body_bytes: 16 * 1024 * 1024,
            max_header_bytes: 16 * 1024,
            idle_timeout: time::Duration::from_secs(30),
            header_timeout: time::Duration::from_secs(5),
            max_in_flight: 2_048,
        }
    }
}

impl From<&settings::Limits> for Limits {
    fn from(limits: &settings::Limits) -> Self {
        Self {
            max_connections: limits.max_connections,
            max_body_bytes: limits.max_body_bytes,
            max_header_bytes: limits.max_header_bytes,
            idle_timeout: limits.idle_timeout,
            header_timeout: limits.header_timeout,
            max_in_flight: limits.max_in_flight,
        }
    }
}
