//! Limits of one entry process.

use std::time;

use crate::reader::{field, read};

/// Greatest value of `max_body_bytes`: 1 GiB.
const MAX_BODY_BYTES: u32 = 1024 * 1024 * 1024;
/// Least value of `max_header_bytes`; the HTTP library accepts no less.
const MIN_HEADER_BYTES: u32 = 8 * 1024;
/// Greatest value of `max_header_bytes`: 1 MiB.
const MAX_HEADER_BYTES: u32 = 1024 * 1024;
/// Greatest value of a timeout, in milliseconds: an hour.
const MAX_TIMEOUT_MS: u64 = 3_600_000;
/// Greatest value of `max_connections` and of `max_in_flight`.
const MAX_COUNT: u32 = 1_000_000;
/// Greatest value of `traffic_threads`.
const MAX_THREADS: u32 = 256;

/// Limits of one entry process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most open connections from callers.
    pub max_connections: usize,
    /// Greatest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Greatest size of a request's line and headers, in bytes.
    pub max_header_bytes: usize,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: time::Duration,
    /// Time within which a request's headers must arrive.
    pub header_timeout: time::Duration,
    /// Most requests in flight.
    pub max_in_flight: usize,
    /// Number of threads that serve requests.
    pub traffic_threads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            max_body_bytes: 16 * 1024 * 1024,
            max_header_bytes: 16 * 1024,
            idle_timeout: time::Duration::from_millis(30_000),
            header_timeout: time::Duration::from_millis(5000),
            max_in_flight: 2048,
            traffic_threads: 2,
        }
    }
}

impl Limits {
    /// Reads the table `[limits]`.
    pub(super) fn read(field: &field::Field<'_, '_>) -> Option<Self> {
        let section = field.table()?;
        let default = Self::default();
        let count = || read::usize_within(1, MAX_COUNT);
        let timeout = || read::millis_within(1, MAX_TIMEOUT_MS);
        let max_connections = section.optional("max_connections", default.max_connections, count());
        let max_body_bytes = section.optional(
            "max_body_bytes",
            default.max_body_bytes,
            read::usize_within(1, MAX_BODY_BYTES),
        );
        let max_header_bytes = section.optional(
            "max_header_bytes",
            default.max_header_bytes,
            read::usize_within(MIN_HEADER_BYTES, MAX_HEADER_BYTES),
        );
        let idle_timeout = section.optional("idle_timeout_ms", default.idle_timeout, timeout());
        let header_timeout =
            section.optional("header_timeout_ms", default.header_timeout, timeout());
        let max_in_flight = section.optional("max_in_flight", default.max_in_flight, count());
        let traffic_threads = section.optional(
            "traffic_threads",
            default.traffic_threads,
            read::usize_within(1, MAX_THREADS),
        );
        section.report_unknown();
        Some(Self {
            max_connections: max_connections?,
            max_body_bytes: max_body_bytes?,
            max_header_bytes: max_header_bytes?,
            idle_timeout: idle_timeout?,
            header_timeout: header_timeout?,
            max_in_flight: max_in_flight?,
            traffic_threads: traffic_threads?,
        })
    }
}
