//! A backend server in an entry's status.

/// A backend server as an entry sees it.
#[derive(Clone, Debug, serde::Deserialize, Eq, PartialEq, serde::Serialize)]
pub struct ServerStatus {
    /// Name.
    pub id: String,
    /// Engine kind or plain service of the configuration.
    pub kind: String,
    /// `IP:PORT`.
    pub address: String,
    /// Data centre.
    pub data_centre: String,
    /// `cold` or `warm`.
    pub warmth: String,
    /// Epoch of its last report.
    pub epoch: u64,
    /// Whether it responds.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// KV memory, in tokens.
    pub memory_tokens: u64,
    /// KV memory in use, in tokens.
    pub used_tokens: u64,
    /// Prompt tokens that wait for prefill.
    pub queued_prefill_tokens: u64,
    /// Number of running requests.
    pub running: u32,
    /// VM of the entry that grants its credits.
    #[serde(default)]
    pub steward: Option<String>,
}
