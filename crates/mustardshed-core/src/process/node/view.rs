//! Building of the snapshot that traffic threads read.

use std::{collections, sync, time};

use crate::{
    ids,
    process::{members, servers, snapshot},
};

use super::{Identity, Node};

/// Age up to which a snapshot is not rebuilt for changes of servers and members alone.
const MAX_AGE: time::Duration = time::Duration::from_millis(10);
/// Addition to [`MAX_AGE`] for each server and member: the more there are, the longer a rebuild
/// takes, and the less it matters which of them this entry used last.
const MAX_AGE_PER_VIEW: time::Duration = time::Duration::from_micros(250);

/// Returns the snapshot of a node without any knowledge.
pub(super) fn empty_snapshot(identity: &Identity, now: ids::Timestamp) -> snapshot::Snapshot {
    snapshot::Snapshot {
        taken_at: now,
        vm: identity.vm.clone(),
        incarnation: identity.incarnation,
        data_centre: identity.data_centre.clone(),
        generation: 0,
        text: sync::Arc::default(),
        data_centres_out: collections::BTreeSet::new(),
        may_place_until: ids::Timestamp::ZERO,
        leaving: false,
        servers: collections::BTreeMap::new(),
        members: collections::BTreeMap::new(),
        latencies: collections::BTreeMap::new(),
    }
}

/// Returns the age up to which a snapshot is kept if only servers and members may have changed.
fn max_age(latest: &snapshot::Snapshot) -> time::Duration {
    let views = latest.servers.len() + latest.members.len();
    let views = u32::try_from(views).unwrap_or(u32::MAX);
    MAX_AGE + MAX_AGE_PER_VIEW.saturating_mul(views)
}

impl Node {
    pub(super) fn refresh_snapshot(&mut self, now: ids::Timestamp) {
        if self.must_refresh_snapshot || !self.is_snapshot_current(now) {
            self.must_refresh_snapshot = false;
            self.snapshot = sync::Arc::new(self.build_snapshot(now));
        }
    }

    /// Returns whether all that must not be stale is current, and the rest is recent enough.
    fn is_snapshot_current(&self, now: ids::Timestamp) -> bool {
        let latest = &self.snapshot;
        now.saturating_sub(latest.taken_at) < max_age(latest)
            && latest.generation == self.cluster.configuration.generation()
            && latest.may_place_until == self.cluster.may_place_until()
            && latest.leaving == self.is_leaving
            && latest.data_centres_out == *self.cluster.data_centres_out()
    }

    fn build_snapshot(&self, now: ids::Timestamp) -> snapshot::Snapshot {
        let sources = servers::Sources {
            gossip: &self.gossip,
            stewards: self.stewards.chosen(),
            holder: &self.holder,
            cluster: &self.cluster,
            now,
        };
        snapshot::Snapshot {
            taken_at: now,
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            generation: self.cluster.configuration.generation(),
            text: sync::Arc::clone(self.cluster.configuration.text()),
            data_centres_out: self.cluster.data_centres_out().clone(),
            may_place_until: self.cluster.may_place_until(),
            leaving: self.is_leaving,
            servers: self.servers.views(sources),
            members: self.member_views(),
            latencies: self.latencies.all().clone(),
        }
    }

    fn member_views(&self) -> collections::BTreeMap<ids::VmId, snapshot::MemberView> {
        let members = self.cluster.members.iter();
        members
            .map(|(vm, member)| {
                let is_own = *vm == self.identity.vm;
                let view = snapshot::MemberView {
                    vm: vm.clone(),
                    incarnation: member.incarnation,
                    address: member.address.clone(),
                    data_centre: member.data_centre.clone(),
                    leaving: member.leaving,
                    live: member.state == members::State::Live,
                    generation: if is_own {
                        self.cluster.configuration.generation()
                    } else {
                        member.generation
                    },
                    busy: self.gossip.busy(vm, member.incarnation),
                };
                (vm.clone(), view)
            })
            .collect()
    }
}
