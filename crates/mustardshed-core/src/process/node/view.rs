//! The snapshot that traffic threads read.

use std::{collections, sync, time};

use crate::{
    ids,
    process::{members, servers, snapshot},
};

use super::{Identity, Node};

/// Age of the views of servers and members up to which they are not made anew.
const KEEP_FOR: time::Duration = time::Duration::from_millis(10);
/// Time by which each server and member prolongs [`KEEP_FOR`]: the more there are, the longer a
/// view takes to make, and the less it matters which of them this entry used last.
const KEEP_FOR_EACH: time::Duration = time::Duration::from_micros(250);

/// Returns the snapshot of a node that knows nothing.
pub(super) fn blank(identity: &Identity, now: ids::Timestamp) -> snapshot::Snapshot {
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
        distances: collections::BTreeMap::new(),
    }
}

/// Returns the age up to which the views of servers and members of a snapshot are kept.
fn keep_for(latest: &snapshot::Snapshot) -> time::Duration {
    let views = latest.servers.len() + latest.members.len();
    let views = u32::try_from(views).unwrap_or(u32::MAX);
    KEEP_FOR + KEEP_FOR_EACH.saturating_mul(views)
}

impl Node {
    pub(super) fn refresh_view(&mut self, now: ids::Timestamp) {
        if self.is_view_urgent || !self.is_view_current(now) {
            self.is_view_urgent = false;
            self.view = sync::Arc::new(self.make_view(now));
        }
    }

    /// Returns whether the snapshot states all that must not be late, and the rest is new enough.
    fn is_view_current(&self, now: ids::Timestamp) -> bool {
        let latest = &self.view;
        now.saturating_sub(latest.taken_at) < keep_for(latest)
            && latest.generation == self.world.configuration.generation()
            && latest.may_place_until == self.world.may_place_until()
            && latest.leaving == self.is_leaving
            && latest.data_centres_out == *self.world.data_centres_out()
    }

    fn make_view(&self, now: ids::Timestamp) -> snapshot::Snapshot {
        let sources = servers::Sources {
            gossip: &self.gossip,
            stewards: self.stewards.chosen(),
            holder: &self.holder,
            world: &self.world,
            now,
        };
        snapshot::Snapshot {
            taken_at: now,
            vm: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            generation: self.world.configuration.generation(),
            text: sync::Arc::clone(self.world.configuration.text()),
            data_centres_out: self.world.data_centres_out().clone(),
            may_place_until: self.world.may_place_until(),
            leaving: self.is_leaving,
            servers: self.servers.views(sources),
            members: self.member_views(),
            distances: self.distances.all().clone(),
        }
    }

    fn member_views(&self) -> collections::BTreeMap<ids::VmId, snapshot::MemberView> {
        let members = self.world.members.iter();
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
                        self.world.configuration.generation()
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
