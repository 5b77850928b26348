//! Backend servers in this entry's view: from the platform's list, stewards' facts and cold signs.

use std::collections;

use crate::{
    boundary::{backend_server, platform},
    ids,
    process::{cluster, gossip, holder, message, snapshot},
};

/// A cold sign that this entry saw.
#[derive(Clone, Copy, Debug)]
struct ColdSign {
    epoch: ids::Epoch,
    seen_at: ids::Timestamp,
}

/// Backend servers.
#[derive(Debug, Default)]
pub struct Servers {
    vms: collections::BTreeMap<ids::BackendServerId, platform::Vm>,
    cold_signs: collections::BTreeMap<ids::BackendServerId, ColdSign>,
}

/// Inputs of the views of servers.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'a> {
    /// Facts of all entries.
    pub gossip: &'a gossip::Gossip,
    /// Steward of each server.
    pub stewards: &'a collections::BTreeMap<ids::BackendServerId, ids::VmId>,
    /// Credits held and requested by this entry.
    pub holder: &'a holder::Holder,
    /// Members and configuration.
    pub cluster: &'a cluster::ClusterState,
    /// Current time.
    pub now: ids::Timestamp,
}

impl Servers {
    /// Sets the backend servers from the platform's list.
    pub fn set_listed(&mut self, vms: &[platform::Vm]) {
        self.vms = vms
            .iter()
            .filter(|vm| vm.role != platform::VmRole::Entry)
            .map(|vm| (vm.id.clone(), vm.clone()))
            .collect();
        let vms = &self.vms;
        self.cold_signs.retain(|server, _| vms.contains_key(server));
    }

    /// Returns the listed backend servers.
    pub const fn vms(&self) -> &collections::BTreeMap<ids::BackendServerId, platform::Vm> {
        &self.vms
    }

    /// Records a cold sign, unless one of a later epoch is known.
    pub fn note_cold_sign(&mut self, server: &str, epoch: ids::Epoch, now: ids::Timestamp) {
        if self
            .cold_signs
            .get(server)
            .is_some_and(|cold_sign| cold_sign.epoch > epoch)
        {
            return;
        }
        let cold_sign = ColdSign {
            epoch,
            seen_at: now,
        };
        self.cold_signs.insert(server.to_owned(), cold_sign);
    }

    /// Returns the views of all servers.
    pub fn views(
        &self,
        sources: Sources<'_>,
    ) -> collections::BTreeMap<ids::BackendServerId, snapshot::ServerView> {
        let facts = latest_loads(sources);
        self.vms
            .iter()
            .map(|(server, vm)| {
                let fact = facts.get(server.as_str()).copied();
                (server.clone(), self.view(vm, fact, sources))
            })
            .collect()
    }

    fn view(
        &self,
        vm: &platform::Vm,
        known: Option<&gossip::StoredFact>,
        sources: Sources<'_>,
    ) -> snapshot::ServerView {
        let mut view = blank(vm, sources);
        if let Some(known) = known {
            apply_fact(&mut view, known);
            add_own_requests(&mut view, known.published_at, sources.holder);
        }
        if let Some(cold_sign) = self.cold_signs.get(&vm.id) {
            apply_cold_sign(&mut view, *cold_sign);
        }
        view
    }
}

/// Returns the latest load fact of each server.
fn latest_loads(sources: Sources<'_>) -> collections::BTreeMap<&str, &gossip::StoredFact> {
    let mut latest: collections::BTreeMap<&str, &gossip::StoredFact> = collections::BTreeMap::new();
    for known in sources.gossip.loads() {
        let message::FactBody::Load { server, .. } = &known.fact.body else {
            continue;
        };
        let is_later = latest
            .get(server.as_str())
            .is_none_or(|other| other.published_at < known.published_at);
        if is_later {
            latest.insert(server, known);
        }
    }
    latest
}

fn blank(vm: &platform::Vm, sources: Sources<'_>) -> snapshot::ServerView {
    let kind = match &vm.role {
        platform::VmRole::BackendServer { kind } => kind.clone(),
        platform::VmRole::Entry => String::new(),
    };
    let limits = sources
        .cluster
        .steward_context(ids::Timestamp::ZERO)
        .limits(vm);
    snapshot::ServerView {
        id: vm.id.clone(),
        address: vm.address.clone(),
        kind,
        data_centre: vm.data_centre.clone(),
        warmth: backend_server::Warmth::Cold,
        epoch: 0,
        reachable: false,
        leaving: vm.state == platform::VmState::Leaving,
        models: collections::BTreeMap::new(),
        memory_tokens: limits.map_or(0, |limits| limits.memory_tokens),
        used_tokens: 0,
        queued_prefill_tokens: 0,
        running: 0,
        prefill_tokens_per_second: limits.map_or(0.0, |limits| limits.prefill_tokens_per_second),
        reported_at: ids::Timestamp::ZERO,
        steward: askable_steward(&vm.id, sources),
    }
}

/// Returns the steward of a server if this entry can reach it.
fn askable_steward(server: &str, sources: Sources<'_>) -> Option<ids::VmId> {
    let steward = sources.stewards.get(server)?;
    let can_ask = sources.cluster.can_ask(steward, sources.now);
    can_ask.then(|| steward.clone())
}

fn apply_fact(view: &mut snapshot::ServerView, known: &gossip::StoredFact) {
    let message::FactBody::Load {
        report: Some(report),
        prefill_tokens_per_second,
        credited_tokens,
        credits,
        ..
    } = &known.fact.body
    else {
        view.reported_at = known.published_at;
        return;
    };
    view.warmth = report.warmth;
    view.epoch = report.epoch;
    view.reachable = true;
    view.leaving |= report.leaving;
    view.models.clone_from(&report.models);
    if report.memory_tokens > 0 {
        view.memory_tokens = report.memory_tokens;
    }
    view.used_tokens = report.used_tokens.max(*credited_tokens);
    view.queued_prefill_tokens = report.queued_prefill_tokens;
    view.running = report.running.max(*credits);
    if *prefill_tokens_per_second > 0.0 {
        view.prefill_tokens_per_second = *prefill_tokens_per_second;
    }
    view.reported_at = known.published_at.saturating_sub(report.age);
}

/// Adds the credits that this entry received after the fact was published, and those it requests.
///
/// The steward's count of credits is as new as its fact; the server's own figures are older.
fn add_own_requests(
    view: &mut snapshot::ServerView,
    stated_at: ids::Timestamp,
    holder: &holder::Holder,
) {
    let reported_at = view.reported_at;
    let server = view.id.clone();
    for (_, held) in holder.on_server(&server) {
        if held.received_at > reported_at {
            add_prefill(view, held.prefill_tokens);
        }
        if held.received_at > stated_at {
            add_request(view, held.tokens);
        }
    }
    for req in holder.pending_on(&server) {
        add_prefill(view, req.prefill_tokens);
        add_request(view, req.tokens);
    }
}

const fn add_prefill(view: &mut snapshot::ServerView, tokens: ids::Tokens) {
    view.queued_prefill_tokens = view.queued_prefill_tokens.saturating_add(tokens);
}

const fn add_request(view: &mut snapshot::ServerView, tokens: ids::Tokens) {
    view.used_tokens = view.used_tokens.saturating_add(tokens);
    view.running = view.running.saturating_add(1);
}

fn apply_cold_sign(view: &mut snapshot::ServerView, cold_sign: ColdSign) {
    if cold_sign.epoch > view.epoch && cold_sign.seen_at > view.reported_at {
        view.warmth = backend_server::Warmth::Cold;
        view.epoch = cold_sign.epoch;
    }
}
