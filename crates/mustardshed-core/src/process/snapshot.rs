//! What an entry knows at one moment, as traffic threads read it.

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
    /// Engine kind, or plain service, of the operators' text.
    pub kind: String,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Warmth by its last report or by what was seen since.
    pub warmth: backend_server::Warmth,
    /// Epoch of its last report.
    pub epoch: ids::Epoch,
    /// Whether it answers.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Models that are loaded, each with its version.
    pub models: collections::BTreeMap<ids::ModelId, String>,
    /// KV memory, in tokens.
    pub memory_tokens: ids::Tokens,
    /// KV memory held by its last report, corrected by what was sent since, in tokens.
    pub used_tokens: ids::Tokens,
    /// Prompt tokens that wait for prefill, corrected likewise.
    pub queued_prefill_tokens: ids::Tokens,
    /// Requests that are being worked on, corrected likewise.
    pub running: u32,
    /// Prefill speed learned from first tokens, in tokens a second.
    pub prefill_tokens_per_second: f64,
    /// Time of the report, or since when it does not answer; zero if nothing was heard of it yet.
    pub reported_at: ids::Timestamp,
    /// Entry VM that hands out its credits.
    pub steward: Option<ids::VmId>,
}

/// An entry process as another one sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// VM on which it runs.
    pub vm: ids::VmId,
    /// Its present run.
    pub incarnation: ids::Incarnation,
    /// `IP:PORT` towards callers.
    pub address: String,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is taken to be live.
    pub live: bool,
    /// Newest generation that it has in force.
    pub generation: ids::Generation,
    /// How busy it is.
    pub busy: ids::BusyLevel,
}

/// What an entry knows at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Time at which the snapshot was taken.
    pub taken_at: ids::Timestamp,
    /// VM of this entry.
    pub vm: ids::VmId,
    /// Run of this entry.
    pub incarnation: ids::Incarnation,
    /// Data centre of this entry.
    pub data_centre: ids::DataCentreId,
    /// Generation in force; zero before the first.
    pub generation: ids::Generation,
    /// Operators' text in force.
    pub text: sync::Arc<text::Text>,
    /// Data centres that get no new work.
    pub data_centres_out: collections::BTreeSet<ids::DataCentreId>,
    /// Time until which new work may be sent on the strength of this configuration.
    pub may_place_until: ids::Timestamp,
    /// Whether this entry is leaving.
    pub leaving: bool,
    /// Backend servers, by name.
    pub servers: collections::BTreeMap<ids::BackendServerId, ServerView>,
    /// Entries, by VM.
    pub members: collections::BTreeMap<ids::VmId, MemberView>,
    /// One-way delay to each data centre, where it is known.
    pub latencies: collections::BTreeMap<ids::DataCentreId, time::Duration>,
}

impl Snapshot {
    /// Returns the entries that callers are told to use.
    ///
    /// They are live and do not leave. Those in data centres out of service are among them only if
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
