//! The state of an entry at one moment, as traffic threads read it.

use std::{collections, sync, time};

use mustardshed_config::text;

use crate::{boundary::backend_server, ids, mutation};

/// A backend server as an entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Name.
    pub id: ids::BackendServerId,
    /// `IP:PORT`.
    pub address: String,
    /// Engine kind or plain service, as named in the configuration.
    pub kind: String,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Warmth by its last report, or cold if that was detected since.
    pub warmth: backend_server::Warmth,
    /// Epoch by its last report, or a later one in which it was found cold.
    pub epoch: ids::Epoch,
    /// Whether it answers.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Loaded models, each with its version.
    pub models: collections::BTreeMap<ids::ModelId, String>,
    /// KV memory, in tokens.
    pub memory_tokens: ids::Tokens,
    /// KV memory used by its last report plus that of this entry's later credits, in tokens.
    pub used_tokens: ids::Tokens,
    /// Prompt tokens that wait for prefill, corrected in the same way.
    pub queued_prefill_tokens: ids::Tokens,
    /// Running requests, corrected in the same way.
    pub running: u32,
    /// Prefill speed measured by the times to first token, in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// Time of the report, or of the latest news that it does not answer; zero without any news.
    pub reported_at: ids::Timestamp,
    /// VM of the entry that grants its credits, if that can be asked.
    pub steward: Option<ids::VmId>,
}

/// An entry process as another entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// VM on which it runs.
    pub vm: ids::VmId,
    /// Its current incarnation.
    pub incarnation: ids::Incarnation,
    /// `IP:PORT` towards callers.
    pub address: String,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is considered live.
    pub live: bool,
    /// Newest generation that it has in force.
    pub generation: ids::Generation,
    /// How busy it is.
    pub busy: ids::BusyLevel,
}

/// The state of an entry at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Time at which the snapshot was taken.
    pub taken_at: ids::Timestamp,
    /// VM of this entry.
    pub vm: ids::VmId,
    /// Incarnation of this entry.
    pub incarnation: ids::Incarnation,
    /// Data centre of this entry.
    pub data_centre: ids::DataCentreId,
    /// Generation in force; zero before the first.
    pub generation: ids::Generation,
    /// Operators' text in force.
    pub text: sync::Arc<text::Text>,
    /// Data centres that get no new work.
    pub data_centres_out: collections::BTreeSet<ids::DataCentreId>,
    /// Time until which this configuration is valid for placing new work.
    pub may_place_until: ids::Timestamp,
    /// Whether this entry is leaving.
    pub leaving: bool,
    /// Backend servers, by name.
    pub servers: collections::BTreeMap<ids::BackendServerId, ServerView>,
    /// Entries, by VM.
    pub members: collections::BTreeMap<ids::VmId, MemberView>,
    /// One-way latency to each data centre where it is known.
    pub latencies: collections::BTreeMap<ids::DataCentreId, time::Duration>,
}

impl Snapshot {
    /// Returns the entries that callers are told to use.
    ///
    /// These are live and not leaving. Entries in data centres out of service are included only if
    /// there are no others.
    pub fn entries_for_callers(&self) -> impl Iterator<Item = &MemberView> {
        let is_out = |member: &MemberView| self.data_centres_out.contains(&member.data_centre);
        let is_usable = |member: &&MemberView| {
            member.live && (!member.leaving || mutation::on("leaving_listed"))
        };
        let usable: Vec<_> = self.members.values().filter(is_usable).collect();
        let has_others = usable.iter().any(|member| !is_out(member));
        usable
            .into_iter()
            .filter(move |member| !has_others || !is_out(member))
    }
}
