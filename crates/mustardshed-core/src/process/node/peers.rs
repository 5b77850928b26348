//! Handling of messages from other entries, and of configurations from any source.

use std::collections;

use crate::{
    boundary::platform,
    error, ids, mutation,
    process::{action, holder, members, message},
    version::record,
};

use super::Node;

impl Node {
    pub(super) fn on_message(
        &mut self,
        vm: &ids::VmId,
        incarnation: ids::Incarnation,
        message: message::Message,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let known = self.cluster.members.get(vm).map(|m| m.incarnation);
        if *vm == self.identity.vm || known.is_some_and(|known| known > incarnation) {
            return;
        }
        match message {
            message::Message::Heartbeat(heartbeat) => self.on_heartbeat(vm, heartbeat, now, out),
            message::Message::HeartbeatAck(ack) => {
                self.on_heartbeat_ack(vm, incarnation, ack, now, out);
            }
            message::Message::WantConfiguration { newer_than } => {
                self.on_want_configuration(vm, newer_than, now, out);
            }
            message::Message::Configuration(record) => self.offer_configuration(record, vm, out),
            message::Message::Intent(record) => {
                self.cluster.configuration.add_peer_intent(&record, now);
                self.cluster.refresh_data_centres_out();
            }
            message::Message::Acquire {
                ticket,
                req,
                timeout,
            } => self.on_peer_acquire(vm, incarnation, ticket, req, timeout, now, out),
            message::Message::Acquired {
                ticket,
                request,
                server,
                waited,
                result,
            } => {
                let answer = holder::Response {
                    ticket,
                    request,
                    server,
                    waited,
                    result,
                };
                self.on_acquired(vm, &answer, now, out);
            }
            message::Message::Release {
                request,
                server,
                feedback,
            } => self.release_to_steward(&server, &request, feedback, now, out),
            message::Message::WantHeldCredits { server } => {
                self.report_held_credits(vm, server, now, out);
            }
            message::Message::HeldCredits { server, credits } => {
                self.on_held_credits(vm, &server, &credits, now, out);
            }
            message::Message::ColdSign { server, epoch } => {
                self.on_cold_sign(&server, epoch, now, out);
            }
            message::Message::WantFate { ticket, request } => {
                self.on_peer_want_fate(vm, ticket, &request, now, out);
            }
            message::Message::FateIs { ticket, fate } => {
                let answer = self.fates.on_answer(ticket, vm, fate);
                out.extend(answer.map(|result| action::Action::AnswerFate { ticket, result }));
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        vm: &ids::VmId,
        heartbeat: message::Heartbeat,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let declines = self.apply_facts(vm, heartbeat.facts, now, out);
        self.cluster
            .members
            .set_generation(vm, heartbeat.generation);
        self.fetch_if_newer(vm, heartbeat.generation, now, out);
        let cluster = &self.cluster;
        let ack = message::HeartbeatAck {
            echo: heartbeat.sent_at,
            confirmation_age: cluster.freshness.confirmation_age(now),
            platform_answers: cluster.freshness.platform_answers(now),
            can_vote: cluster.freshness.can_vote(),
            generation: cluster.configuration.generation(),
            intents: cluster.configuration.intents().cloned().collect(),
            wants: self.gossip.wants(&cluster.members.peers(), now),
            declines,
        };
        self.send(vm, message::Message::HeartbeatAck(ack), now, out);
    }

    /// Applies the facts of a neighbour; returns the other authors of which none was new.
    fn apply_facts(
        &mut self,
        vm: &ids::VmId,
        facts: Vec<message::Fact>,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) -> Vec<ids::VmId> {
        let mut news: collections::BTreeMap<ids::VmId, bool> = collections::BTreeMap::new();
        for fact in facts {
            self.gossip.note_sender_has(vm, &fact);
            let author = fact.author.clone();
            let is_new = self.apply_fact(fact, now, out);
            *news.entry(author).or_default() |= is_new;
        }
        news.into_iter()
            .filter(|(author, is_new)| !is_new && author != vm)
            .map(|(author, _)| author)
            .collect()
    }

    /// Applies a fact; returns whether it is new, or may be but cannot be expanded.
    fn apply_fact(
        &mut self,
        fact: message::Fact,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) -> bool {
        let Some(fact) = self.gossip.complete(fact) else {
            return true;
        };
        let change = self.cluster.members.apply_fact(&fact, now);
        let is_new = fact.author != self.identity.vm && self.gossip.insert_if_newer(fact, now);
        if let Some(change) = change {
            self.on_member_change(change, now, out);
        }
        is_new
    }

    fn on_member_change(
        &mut self,
        change: members::Change,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        if change.restarted {
            self.gossip.forget_neighbour(&change.vm);
            self.cluster.start_grace_period(now);
        }
        self.log_member_change(change, out);
    }

    fn on_heartbeat_ack(
        &mut self,
        vm: &ids::VmId,
        incarnation: ids::Incarnation,
        mut ack: message::HeartbeatAck,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        if ack.echo > now {
            return;
        }
        for intent in &ack.intents {
            // If an intent cannot be stored here, its holder's acknowledgement must not be a vote.
            ack.can_vote &= self.cluster.configuration.add_peer_intent(intent, now);
        }
        self.cluster.refresh_data_centres_out();
        let in_force = self.cluster.configuration.generation();
        self.cluster
            .freshness
            .on_heartbeat_ack(vm, &ack, in_force, now);
        self.gossip.on_heartbeat_ack(vm, &ack);
        self.cluster.members.set_generation(vm, ack.generation);
        self.fetch_if_newer(vm, ack.generation, now, out);
        if let Some(member) = self.cluster.members.get(vm) {
            if member.incarnation == incarnation {
                self.cluster.quorum.on_heartbeat_ack(vm, ack.echo);
            }
            let round_trip = now.saturating_sub(ack.echo);
            self.latencies.observe(&member.data_centre, round_trip);
        }
    }

    fn fetch_if_newer(
        &mut self,
        vm: &ids::VmId,
        generation: ids::Generation,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let newer_than = self.cluster.configuration.generation();
        if generation > newer_than && !mutation::on("newer_not_fetched") {
            let message = message::Message::WantConfiguration { newer_than };
            self.send(vm, message, now, out);
        }
    }

    fn on_want_configuration(
        &mut self,
        vm: &ids::VmId,
        newer_than: ids::Generation,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let record = self.cluster.configuration.record();
        let Some(record) = record.filter(|record| record.generation > newer_than) else {
            return;
        };
        let message = message::Message::Configuration(record.clone());
        self.send(vm, message, now, out);
    }

    fn offer_configuration(
        &mut self,
        record: record::Record,
        source: &str,
        out: &mut Vec<action::Action>,
    ) {
        if self.cluster.configuration.apply(record, source, out) {
            self.cluster.refresh_data_centres_out();
            // Send heartbeats at the next tick, so that peers learn of the generation early.
            self.next_heartbeat_at = ids::Timestamp::ZERO;
        }
    }

    pub(super) fn on_configuration_read(
        &mut self,
        begun_at: ids::Timestamp,
        result: Result<Option<(ids::ObjectVersion, record::Record)>, platform::PlatformError>,
        out: &mut Vec<action::Action>,
    ) {
        let Ok(shown) = result else {
            self.cluster.freshness.on_platform_failure();
            return;
        };
        let generation = shown.as_ref().map_or(0, |(_, record)| record.generation);
        if let Some((_, record)) = shown {
            self.offer_configuration(record, "platform", out);
        }
        let in_force = self.cluster.configuration.generation();
        self.cluster
            .freshness
            .on_platform_read(begun_at, generation, in_force);
        self.cluster
            .configuration
            .end_abandoned_intents(begun_at, generation);
        self.cluster.refresh_data_centres_out();
    }

    pub(super) fn on_intent(
        &mut self,
        ticket: u64,
        record: &record::Record,
        now: ids::Timestamp,
        out: &mut Vec<action::Action>,
    ) {
        let result = self.cluster.configuration.add_intent(record, now);
        self.cluster.refresh_data_centres_out();
        let generation = self.cluster.configuration.generation();
        out.push(action::Action::Acknowledge {
            ticket,
            result: result.map(|()| generation),
        });
    }

    pub(super) fn on_commit(
        &mut self,
        ticket: u64,
        record: record::Record,
        out: &mut Vec<action::Action>,
    ) {
        let nonce = record.nonce.clone();
        let generation = record.generation;
        self.offer_configuration(record, "operator", out);
        let in_force = self.cluster.configuration.record();
        let is_other = in_force
            .is_some_and(|in_force| in_force.generation == generation && in_force.nonce != nonce);
        let result = if is_other {
            Err(error::Error::not_run(
                error::ErrorKind::ConfigurationConflict,
                "another record of this generation is in force",
            ))
        } else {
            Ok(self.cluster.configuration.generation())
        };
        out.push(action::Action::Acknowledge { ticket, result });
    }
}
