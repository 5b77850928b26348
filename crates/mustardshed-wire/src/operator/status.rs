//! The status of an entry.

use std::collections;

use super::{MemberStatus, ServerStatus};

/// Response to `GET /operator/status`.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct Status {
    /// VM of the entry.
    pub vm: String,
    /// Incarnation of the entry: its present run.
    pub incarnation: u64,
    /// Data centre of the entry.
    pub data_centre: String,
    /// Generation of the configuration in force; zero before the first one.
    pub generation: u64,
    /// Time for which new work may still be placed without another confirmation, in milliseconds.
    pub may_place_ms: u64,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Data centres that get no new work.
    pub data_centres_out: collections::BTreeSet<String>,
    /// Known entry processes, including itself.
    pub members: Vec<MemberStatus>,
    /// Known backend servers.
    pub servers: Vec<ServerStatus>,
    /// Calls to the platform since its start, by purpose.
    #[serde(default)]
    pub platform_calls: collections::BTreeMap<String, u64>,
    /// Bytes since its start, by kind of connection and direction; without TCP and IP overhead.
    #[serde(default)]
    pub bytes: collections::BTreeMap<String, u64>,
}
