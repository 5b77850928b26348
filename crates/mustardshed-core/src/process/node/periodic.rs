//! Periodic work of a node: expiry, heartbeats and publishing its facts.

use std::{collections, time};

use crate::{
    ids, mutation,
    process::{action, message, topology},
};

use super::{HEARTBEAT_INTERVAL, Node};

impl Node {
    pub(super) fn on_tick(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        self.expire_members(now, out);
        self.gossip.expire(now);
        self.stewards.expire(now);
        self.expire_queries(now, out);
        self.tick_stewards(now, out);
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(now, out);
        }
    }

    fn expire_members(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let expiry = self.cluster.members.expire(now);
        if expiry.was_frozen {
            self.cluster.start_grace_period(now);
            self.stewards.recollect(now);
        }
        for change in expiry.changes {
            if change.state == "dead" {
                self.cluster.start_grace_period(now);
            }
            self.log_member_change(change, out);
        }
    }

    fn send_heartbeats(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        self.publish_alive(now);
        self.publish_busy(now);
        self.publish_loads(now);
        let neighbours = self.links.neighbours();
        for vm in &neighbours {
            let facts = self.gossip.take_facts_for(vm, self.stewards.chosen(), now);
            self.send_heartbeat(vm, facts, now, out);
        }
        for vm in self.outage_contacts(now) {
            if !neighbours.contains(&vm) {
                let facts = self.gossip.own_alive_fact(now).into_iter().collect();
                self.send_heartbeat(&vm, facts, now, out);
            }
        }
    }

    fn send_heartbeat(
        &mut self,
        vm: &ids::VmId,
        facts: Vec<message::Fact>,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let heartbeat = message::Heartbeat {
            sent_at: now,
            generation: self.cluster.configuration.generation(),
            facts,
        };
        self.send(vm, message::Message::Heartbeat(heartbeat), now, out);
    }

    /// Returns the entries whose votes are needed while the platform does not answer, neighbours or
    /// not.
    fn outage_contacts(&self, now: ids::Timestamp) -> collections::BTreeSet<ids::VmId> {
        if self.cluster.freshness.platform_answers(now) || mutation::on("neighbours_only") {
            return collections::BTreeSet::new();
        }
        let others = self.cluster.members.peers();
        topology::outage_contacts(&self.identity.vm, &others)
    }

    fn publish_alive(&mut self, now: ids::Timestamp) {
        let identity = &self.identity;
        let body = message::FactBody::Alive {
            address: identity.address.clone(),
            peer_address: identity.peer_address.clone(),
            data_centre: identity.data_centre.clone(),
            leaving: self.is_leaving,
            generation: self.cluster.configuration.generation(),
        };
        self.version += 1;
        self.publish(self.version, body, now);
    }

    fn publish_busy(&mut self, now: ids::Timestamp) {
        if let Some(level) = self.busy.take_due(now) {
            self.version += 1;
            self.publish(self.version, message::FactBody::Busy { level }, now);
        }
    }

    fn publish_loads(&mut self, now: ids::Timestamp) {
        let others = self.cluster.members.peers().len();
        let is_mesh = others < topology::MESH_LIMIT;
        for (version, measured_at, mut body) in self.stewards.take_due_loads(is_mesh, now) {
            if let message::FactBody::Load {
                report: Some(report),
                ..
            } = &mut body
            {
                report.age = now.saturating_sub(measured_at);
            }
            self.publish(version, body, now);
        }
    }

    fn publish(&mut self, version: u64, body: message::FactBody, now: ids::Timestamp) {
        let fact = message::Fact {
            author: self.identity.vm.clone(),
            incarnation: self.identity.incarnation,
            version,
            age: time::Duration::ZERO,
            body,
        };
        self.gossip.insert_if_newer(fact, now);
    }

    pub(super) fn set_neighbours(&mut self, now: ids::Timestamp, out: &mut Vec<action::Action>) {
        let others = self.cluster.members.peers();
        let chosen = topology::neighbours(&self.identity.vm, &others);
        let neighbours: collections::BTreeMap<ids::VmId, String> = chosen
            .into_iter()
            .filter_map(|vm| {
                let address = self.cluster.members.peer_address(&vm)?.to_owned();
                Some((vm, address))
            })
            .collect();
        self.links.set_neighbours(&neighbours, now, out);
        self.gossip
            .retain_neighbours(|vm| neighbours.contains_key(vm));
    }

    pub(super) fn send(
        &mut self,
        vm: &ids::VmId,
        message: message::Message,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let peer_address = self.cluster.members.peer_address(vm);
        self.links.send(vm, peer_address, message, now, out);
    }
}
