//! A backend server as the platform lists it.

use std::time;

use crate::ids;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It is leaving and takes none.
    Draining,
}

/// A listed backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Name; a server that starts again mostly has another.
    pub id: ids::BackendServerId,
    /// Service that it runs.
    pub service: ids::ServiceId,
    /// `IP:PORT`.
    pub address: String,
    /// Data centre in which it stands.
    pub data_centre: ids::DataCentreId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it was cold when the entry was written.
    pub cold_for: time::Duration,
    /// Start of its present run in Unix milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
}
