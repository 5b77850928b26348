//! Whether this entry can exchange messages with a majority of the fleet.
//!
//! A steward may start work on a cold server only while it can: on the other side of a network
//! partition there may be another steward. Heartbeat acknowledgements are counted rather than
//! facts, since facts also arrive over links that work in one direction only. In a fleet too large
//! for a full mesh, only neighbours acknowledge, and members that facts show to be live are counted
//! instead.

use std::{collections, time};

use crate::{
    ids, mutation,
    process::{members, topology},
};

/// Age of the latest acknowledged heartbeat from which its receiver no longer counts as reached.
pub const MAX_ACK_AGE: time::Duration = time::Duration::from_millis(1500);

/// Send time of the latest heartbeat that each member acknowledged.
#[derive(Debug, Default)]
pub struct Quorum {
    latest_acks: collections::BTreeMap<ids::VmId, ids::Timestamp>,
}

impl Quorum {
    /// Records that a member acknowledged the heartbeat sent at `echo`.
    pub fn on_heartbeat_ack(&mut self, vm: &ids::VmId, echo: ids::Timestamp) {
        let latest = self.latest_acks.entry(vm.clone()).or_default();
        *latest = echo.max(*latest);
    }

    /// Returns whether a majority of the voters is reached.
    pub fn has_majority(&self, members: &members::Members, own: &str, now: ids::Timestamp) -> bool {
        if mutation::on("minority_grants") {
            return true;
        }
        let voters = members.voters();
        let reached = voters
            .iter()
            .filter(|vm| vm.as_str() == own || self.reaches(members, vm, now));
        2 * reached.count() > voters.len()
    }

    /// Returns whether messages to another entry and its responses get through.
    pub fn reaches(&self, members: &members::Members, vm: &str, now: ids::Timestamp) -> bool {
        let is_live = members
            .get(vm)
            .is_some_and(|member| member.state == members::State::Live);
        let is_mesh = members.voters().len() <= topology::MESH_LIMIT;
        if is_mesh {
            self.is_acknowledged(vm, now)
        } else {
            is_live
        }
    }

    fn is_acknowledged(&self, vm: &str, now: ids::Timestamp) -> bool {
        self.latest_acks
            .get(vm)
            .is_some_and(|echo| now.saturating_sub(*echo) < MAX_ACK_AGE)
    }
}
