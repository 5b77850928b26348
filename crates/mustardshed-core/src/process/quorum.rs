//! Whether this entry reaches a majority of the fleet, both ways.
//!
//! A steward may start work on a cold server only while it does: behind a cut, the other side
//! may have another steward. Acknowledgements are counted rather than facts, since facts also come
//! over links that carry only one way. In a fleet that is too large for a mesh only neighbours
//! acknowledge, and members that are alive by facts are counted instead.

use std::{collections, time};

use crate::{
    ids, mutation,
    process::{members, topology},
};

/// Age of an acknowledged heartbeat up to which its receiver counts as reached.
pub const MAX_ACK_AGE: time::Duration = time::Duration::from_millis(1500);

/// Latest acknowledged heartbeat of each member.
#[derive(Debug, Default)]
pub struct Quorum {
    latest_acks: collections::BTreeMap<ids::VmId, ids::Timestamp>,
}

impl Quorum {
    /// Notes that a member acknowledged the heartbeat sent at `echo`.
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

    /// Returns whether another entry is reached and answers.
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
