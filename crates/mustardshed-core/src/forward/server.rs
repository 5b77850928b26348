//! A backend server as listed by the platform.

use std::time;

use crate::ids;

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It accepts new work.
    Ready,
    /// It is leaving and accepts none.
    Draining,
}

/// A listed backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Name; a restarted server usually has a new one.
    pub id: ids::BackendServerId,
    /// Service that it runs.
    pub service: ids::ServiceId,
    /// `IP:PORT`.
    pub address: String,
    /// Data centre in which it runs.
    pub data_centre: ids::DataCentreId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: State,
    /// How much longer it was cold when its list entry was written.
    pub cold_for: time::Duration,
    /// Start of its current run in Unix milliseconds, if reported.
    pub started_unix_ms: Option<u64>,
}
