//! Table `[clients]`: limits on connections of clients.

use std::time;

use crate::reader::{field, read};

/// Greatest count accepted.
const MAX_COUNT: u32 = 1_000_000;
/// Longest time accepted, in milliseconds: an hour.
const MAX_MS: u64 = 3_600_000;
/// Greatest rate accepted, in bytes per second.
const MAX_RATE: u32 = 1_000_000;
/// Rate below which a head or body makes no progress if the settings give none, in bytes per second.
const DEFAULT_MIN_BYTES_PER_S: u32 = 128;
/// Kernel's buffer for unread bytes of a connection if the settings give none, in bytes.
const DEFAULT_RECEIVE_BUFFER_BYTES: u32 = 24 * 1024;
/// Least size of that buffer that is accepted, in bytes.
const MIN_RECEIVE_BUFFER_BYTES: u64 = 4 * 1024;
/// Greatest size of that buffer that is accepted, in bytes.
const MAX_RECEIVE_BUFFER_BYTES: u64 = 4 * 1024 * 1024;

/// Limits on connections of clients; those left out follow from the descriptors and the memory of the
/// process and from the configuration in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Clients {
    /// Descriptors kept for peers, the store, readiness, discovery, metrics and files.
    pub reserved_descriptors: Option<usize>,
    /// Most connections.
    pub max_connections: Option<usize>,
    /// Most connections of one address.
    pub max_per_address: Option<usize>,
    /// Most connections that have not completed a request.
    pub max_incomplete: Option<usize>,
    /// Longest time of a head without progress.
    pub head_timeout: Option<time::Duration>,
    /// Longest time of a body without progress.
    pub body_timeout: Option<time::Duration>,
    /// Rate below which a head or body makes no progress, in bytes per second.
    pub min_bytes_per_s: u32,
    /// Size of the kernel's buffer for bytes of a connection that are not read yet.
    pub receive_buffer_bytes: u32,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            reserved_descriptors: None,
            max_connections: None,
            max_per_address: None,
            max_incomplete: None,
            head_timeout: None,
            body_timeout: None,
            min_bytes_per_s: DEFAULT_MIN_BYTES_PER_S,
            receive_buffer_bytes: DEFAULT_RECEIVE_BUFFER_BYTES,
        }
    }
}

impl Clients {
    /// Reads the table `[clients]`.
    pub(super) fn read(field: &field::Field<'_, '_>) -> Option<Self> {
        let section = field.table()?;
        let count = |key| {
            let read = |field: &_| read::u32_within(1, MAX_COUNT)(field).map(Some);
            section.optional(key, None, read)
        };
        let timeout = |key| {
            let read = |field: &_| read::millis_within(1, MAX_MS)(field).map(Some);
            section.optional(key, None, read)
        };
        let reserved_descriptors = count("reserved_descriptors");
        let max_connections = count("max_connections");
        let max_per_address = count("max_per_address");
        let max_incomplete = count("max_incomplete");
        let head_timeout = timeout("head_timeout_ms");
        let body_timeout = timeout("body_timeout_ms");
        let rate = read::u32_within(1, MAX_RATE);
        let min_bytes_per_s = section.optional("min_bytes_per_s", DEFAULT_MIN_BYTES_PER_S, rate);
        let buffer = read::u64_within(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES);
        let receive_buffer_bytes = section.optional(
            "receive_buffer_bytes",
            DEFAULT_RECEIVE_BUFFER_BYTES,
            |field| u32::try_from(buffer(field)?).ok(),
        );
        section.report_unknown();
        for (key, value) in [
            ("max_per_address", max_per_address),
            ("max_incomplete", max_incomplete),
        ] {
            let all = max_connections.flatten();
            section.limit(key, value.flatten(), "max_connections", all);
        }
        Some(Self {
            reserved_descriptors: counted(reserved_descriptors?),
            max_connections: counted(max_connections?),
            max_per_address: counted(max_per_address?),
            max_incomplete: counted(max_incomplete?),
            head_timeout: head_timeout?,
            body_timeout: body_timeout?,
            min_bytes_per_s: min_bytes_per_s?,
            receive_buffer_bytes: receive_buffer_bytes?,
        })
    }
}

fn counted(count: Option<u32>) -> Option<usize> {
    count.map(|count| usize::try_from(count).unwrap_or(usize::MAX))
}
