//! A member in an entry's status.

/// An entry process as another one sees it.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct MemberStatus {
    /// VM on which it runs.
    pub vm: String,
    /// Incarnation of the process: its present run.
    pub incarnation: u64,
    /// `IP:PORT` for callers.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is considered live.
    pub live: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Generation of the configuration that it last reported to be in force.
    pub generation: u64,
}
