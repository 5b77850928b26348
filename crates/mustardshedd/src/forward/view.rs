//! The platform's objects as last read from it or received from peers.

use std::{collections, sync, time};

use mustardshed::{
    core::{
        forward::{departures, relays, routes, server},
        ids,
        version::confirmation,
    },
    platform::{decode, objects, topic},
    wire::forward,
};

use crate::log::{self, event};

mod in_force;
mod listed_for;
mod partial;

pub use listed_for::ListedFor;

/// Time for which servers stay usable whose registrations were gone when the platform recovered.
const LAPSED_GRACE: time::Duration = time::Duration::from_millis(1_800);
/// Shortest outage of the platform in which registrations may have lapsed.
const MIN_OUTAGE: time::Duration = time::Duration::from_millis(900);

/// Objects of one kind as last read.
#[derive(Debug, Default)]
struct TopicCache {
    listing: Option<objects::Listing>,
    /// Whether the list leaves out objects that may be used; their former state is kept.
    is_partial: bool,
    /// Position of the last change.
    position: objects::Position,
    confirmation: confirmation::Confirmation,
    /// End of the platform's last outage.
    recovered_at: Option<ids::Timestamp>,
    failing_since: Option<ids::Timestamp>,
}

/// Local view of the platform's objects.
#[derive(Debug, Default)]
pub struct View {
    topics: [TopicCache; topic::Topic::ALL.len()],
    in_force: in_force::InForce,
    servers: collections::BTreeMap<ids::BackendServerId, server::Server>,
    lapsed: collections::BTreeMap<ids::BackendServerId, (server::Server, ids::Timestamp)>,
    departures: departures::Departures,
    outages: collections::BTreeSet<ids::DataCentreId>,
    members: relays::Members,
    /// Number of times that the members were read.
    members_revision: u64,
}

/// Effects of a change of the view that the caller has to apply elsewhere.
#[derive(Debug, Default)]
pub struct Effects {
    /// Servers that are newly cold, with the time left.
    pub cold: Vec<(ids::BackendServerId, time::Duration)>,
    /// Whether a new configuration is in force.
    pub has_new_routes: bool,
    /// Whether the data was older than the known one and had no effect.
    pub is_ignored: bool,
}

/// Returns the position up to which a peer has read a kind.
#[must_use]
pub const fn position(state: &forward::TopicState) -> objects::Position {
    objects::Position {
        era: state.era,
        revision: state.revision,
    }
}

impl View {
    /// Returns the configuration in force, if any was read.
    #[must_use]
    pub fn routes(&self) -> Option<&sync::Arc<routes::Routes>> {
        let routes = &self.in_force.routes;
        (routes.version > 0).then_some(routes)
    }

    /// Returns the position from which to watch a kind; none if it was never listed.
    #[must_use]
    pub fn position(&self, topic: topic::Topic) -> Option<objects::Position> {
        let listing = self.topics[topic.index()].listing.as_ref();
        listing.map(|listing| listing.position)
    }

    /// Returns whether the last list of a kind had objects without a readable name.
    #[must_use]
    pub fn has_unnamed(&self, topic: topic::Topic) -> bool {
        let listing = self.topics[topic.index()].listing.as_ref();
        listing.is_some_and(|listing| listing.unnamed > 0)
    }

    /// Returns whether a kind could be listed only in part.
    #[must_use]
    pub fn is_partial(&self, topic: topic::Topic) -> bool {
        self.topics[topic.index()].is_partial
    }

    /// Returns whether the configuration in force was known to be the latest within the last
    /// `limit`.
    #[must_use]
    pub fn is_configuration_fresh(&self, limit: time::Duration, now: ids::Timestamp) -> bool {
        self.in_force.is_fresh(limit, now)
    }

    /// Returns the time since the configuration in force was known to be the latest; none if it
    /// never was.
    #[must_use]
    pub fn configuration_age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        self.in_force.age(now)
    }

    /// Returns whether a version that cannot be decoded has replaced the configuration in force.
    #[must_use]
    pub const fn is_configuration_superseded(&self) -> bool {
        self.in_force.is_superseded()
    }

    /// Returns the age of the data of a kind, whether or not it could be decoded; none if it was
    /// never read.
    #[must_use]
    pub fn age(&self, topic: topic::Topic, now: ids::Timestamp) -> Option<time::Duration> {
        self.topics[topic.index()].confirmation.age(now)
    }

    /// Returns the registered entries.
    #[must_use]
    pub const fn members(&self) -> &relays::Members {
        &self.members
    }

    /// Returns a number that changes with the registered entries.
    #[must_use]
    pub const fn members_revision(&self) -> u64 {
        self.members_revision
    }

    /// Returns how long the platform has listed a run of a server since `at`; none if it is not
    /// listed. Entries of servers may outlast an outage of the platform, so only the time after the
    /// last one counts.
    #[must_use]
    pub fn listed_for(
        &self,
        server: &str,
        started_unix_ms: u64,
        at: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Option<ListedFor> {
        let listed = self.servers.get(server)?;
        if listed.started_unix_ms != Some(started_unix_ms) {
            return None;
        }
        let cache = &self.topics[topic::Topic::Servers.index()];
        let since = at.max(cache.recovered_at.unwrap_or_default());
        let confirmed_at = cache.confirmation.confirmed_at().unwrap_or_default();
        Some(ListedFor {
            confirmed: confirmed_at.saturating_sub(since),
            presumed: now.saturating_sub(since),
        })
    }

    /// Returns the server if it may be sent requests.
    #[must_use]
    pub fn usable(&self, id: &str, now: ids::Timestamp) -> Option<&server::Server> {
        let lapsed = || {
            let lapsed = self.lapsed.get(id).filter(|(_, until)| now < *until);
            lapsed.map(|(server, _)| server)
        };
        let server = self.servers.get(id).or_else(lapsed)?;
        self.takes_work(server, now).then_some(server)
    }

    /// Returns the servers of a service that may be sent requests.
    pub fn servers_of<'a>(
        &'a self,
        service: &'a str,
        now: ids::Timestamp,
    ) -> impl Iterator<Item = &'a server::Server> {
        let lapsed = self.lapsed.values().filter(move |(_, until)| now < *until);
        let all = self
            .servers
            .values()
            .chain(lapsed.map(|(server, _)| server));
        all.filter(move |server| server.service == service && self.takes_work(server, now))
    }

    /// Returns whether a server is listed or has lapsed recently.
    #[must_use]
    pub fn is_listed(&self, id: &str) -> bool {
        self.servers.contains_key(id) || self.lapsed.contains_key(id)
    }

    /// Returns the server if it is listed or has lapsed recently, whether or not it accepts
    /// requests.
    #[must_use]
    pub fn listed_server(&self, id: &str) -> Option<&server::Server> {
        let lapsed = || self.lapsed.get(id).map(|(server, _)| server);
        self.servers.get(id).or_else(lapsed)
    }

    /// Returns the listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &server::Server> {
        self.servers.values()
    }

    /// Returns the id of the server that has this id or address.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&ids::BackendServerId> {
        if let Some((id, _)) = self.servers.get_key_value(name) {
            return Some(id);
        }
        let mut servers = self.servers.values();
        servers
            .find(|server| server.address == name)
            .map(|server| &server.id)
    }

    fn takes_work(&self, server: &server::Server, now: ids::Timestamp) -> bool {
        server.state == server::State::Ready
            && !self.outages.contains(&server.data_centre)
            && !self.departures.is_outdated(server, now)
    }

    /// Records that a kind could not be read.
    pub fn record_failure(&mut self, topic: topic::Topic, now: ids::Timestamp) {
        self.topics[topic.index()].failing_since.get_or_insert(now);
    }

    /// Applies a list of the objects of a kind, read from the platform or sent by a peer and valid
    /// as of `as_of`. A list older than the known one is ignored, unless the known one is partial and
    /// this one is whole. Objects that a partial list leaves out stay as they are known.
    pub fn apply_listing(
        &mut self,
        topic: topic::Topic,
        mut listing: objects::Listing,
        as_of: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Effects {
        let cache = &mut self.topics[topic.index()];
        let is_partial = partial::is_partial(topic, &listing);
        let completes = cache.is_partial && !is_partial;
        let known = cache.listing.as_ref();
        let is_older = |known: &&objects::Listing| {
            let is_same_era = listing.position.era == known.position.era;
            listing.position < known.position && !(completes && is_same_era)
        };
        if let Some(known) = known.filter(is_older) {
            log_ignored(topic, listing.position, known.position);
            return Effects {
                is_ignored: true,
                ..Effects::default()
            };
        }
        if let Some(known) = known {
            if is_partial {
                partial::keep_unread(&mut listing, known);
            } else if completes {
                partial::keep_newer(&mut listing, known);
            }
        }
        let known_era = known.map_or(0, |known| known.position.era);
        let is_restored = known_era > 0 && listing.position.era > known_era;
        let is_same = known.is_some_and(|known| {
            known.objects == listing.objects && known.unnamed == listing.unnamed
        });
        if !is_same {
            cache.position = listing.position;
        }
        cache.is_partial = is_partial;
        cache.confirm(as_of, now);
        if is_restored {
            log_restored(topic, listing.position);
            // Registrations from after the copy was made are written again.
            cache.recovered_at = Some(now);
            self.departures.record_restoration(now);
        }
        cache.listing = Some(listing);
        let effects = if is_same {
            Effects::default()
        } else {
            self.decode(topic, now)
        };
        self.confirm_in_force();
        effects
    }

    /// Applies the changes of a kind since it was last read; the call for them began at `as_of`.
    pub fn apply_diff(
        &mut self,
        topic: topic::Topic,
        changes: objects::Changes,
        as_of: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Effects {
        let cache = &mut self.topics[topic.index()];
        let Some(listing) = &mut cache.listing else {
            return Effects::default();
        };
        let is_other_era = changes.position.era != listing.position.era;
        let leaves_gap = changes.from > listing.position;
        if is_other_era || leaves_gap || changes.position < listing.position {
            return Effects::default();
        }
        let is_same = changes.changes.is_empty();
        for change in changes.changes {
            match change {
                objects::Change::Put(object) => {
                    listing.objects.insert(object.name.clone(), object);
                }
                objects::Change::Removed(name) => {
                    listing.objects.remove(&name);
                }
            }
        }
        listing.position = changes.position;
        if !is_same {
            cache.position = changes.position;
        }
        cache.confirm(as_of, now);
        let effects = if is_same {
            Effects::default()
        } else {
            self.decode(topic, now)
        };
        self.confirm_in_force();
        effects
    }

    /// Returns how far a kind was read, for a peer; none if it was never read as a whole.
    #[must_use]
    pub fn topic_state(
        &self,
        topic: topic::Topic,
        now: ids::Timestamp,
    ) -> Option<forward::TopicState> {
        let cache = &self.topics[topic.index()];
        // Peers take what they are sent as a whole list.
        cache.listing.as_ref().filter(|_| !cache.is_partial)?;
        let age = cache.confirmation.age(now)?;
        Some(forward::TopicState {
            revision: cache.position.revision,
            era: cache.position.era,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1,
            is_failing: cache.failing_since.is_some(),
        })
    }

    /// Returns the objects of a kind, for a peer.
    #[must_use]
    pub fn objects(&self, topic: topic::Topic) -> Vec<forward::Object> {
        let listing = self.topics[topic.index()].listing.iter();
        let objects = listing.flat_map(|listing| listing.objects.values());
        let objects = objects.map(|object| forward::Object {
            name: object.name.clone(),
            revision: object.position.revision,
            era: object.position.era,
            content: object.content.clone(),
        });
        objects.collect()
    }

    /// Confirms the data of a kind by how far a peer had read it when it was asked at `asked_at`;
    /// returns whether the peer knows a later change or more objects, so that its objects should be
    /// fetched.
    pub fn observe_peer(
        &mut self,
        topic: topic::Topic,
        state: forward::TopicState,
        asked_at: ids::Timestamp,
        follows_peers: bool,
    ) -> bool {
        let as_of = asked_at.saturating_sub(time::Duration::from_millis(state.age_ms));
        let cache = &mut self.topics[topic.index()];
        // A leaf calls the platform so seldom that it learns of outages and recoveries from its
        // relay.
        if state.is_failing && follows_peers {
            cache.failing_since.get_or_insert(asked_at);
        } else if follows_peers {
            cache.record_recovery(asked_at);
        }
        let known = cache.listing.as_ref().map(|listing| listing.position);
        let is_whole = !cache.is_partial;
        if is_whole && known.is_some_and(|known| known >= position(&state)) {
            cache.confirmation.confirm(as_of);
            self.confirm_in_force();
            return false;
        }
        // Only positions tell which data is later. A read confirms data as of its beginning, so the
        // peer's later change may be confirmed as of an earlier time than this entry's older data.
        true
    }

    fn decode(&mut self, topic: topic::Topic, now: ids::Timestamp) -> Effects {
        match topic {
            topic::Topic::Configuration => self.decode_configuration(),
            topic::Topic::Servers => self.decode_servers(now),
            topic::Topic::Outages => self.decode_outages(),
            topic::Topic::Entries => self.decode_entries(),
        }
    }

    /// Confirms the configuration in force by what was last read of its kind.
    fn confirm_in_force(&mut self) {
        let cache = &self.topics[topic::Topic::Configuration.index()];
        self.in_force.confirm(cache.confirmation);
    }

    fn decode_configuration(&mut self) -> Effects {
        let listing = self.topics[topic::Topic::Configuration.index()]
            .listing
            .as_ref();
        let object = listing.and_then(|listing| listing.objects.get(decode::configuration::NAME));
        let decoded = object.map(|object| decode::configuration::decode(&object.content));
        let routes = match decoded {
            Some(Ok(routes)) => routes,
            Some(Err(e)) => return self.supersede_configuration(&e.to_string()),
            // None was written yet.
            None if self.in_force.routes.version == 0 => return Effects::default(),
            None => return self.supersede_configuration("it is not listed"),
        };
        let known = &self.in_force.routes;
        // A store that was restored from a copy may hold an earlier version.
        if routes.version < known.version || routes == **known {
            self.in_force.keep();
            return Effects::default();
        }
        log::emit(&event::Event::RoutesInForce {
            version: routes.version,
            revision: object.map_or(0, |object| object.position.revision),
        });
        for problem in &routes.undecoded().problems {
            log_undecoded_part(routes.version, problem);
        }
        self.in_force.replace(routes);
        Effects {
            has_new_routes: true,
            ..Effects::default()
        }
    }

    /// Keeps the configuration in force, without confirming it any longer.
    fn supersede_configuration(&mut self, reason: &str) -> Effects {
        log::emit(&event::Event::ConfigurationSuperseded {
            version: self.in_force.routes.version,
            reason,
        });
        self.in_force.supersede();
        Effects::default()
    }

    fn decode_servers(&mut self, now: ids::Timestamp) -> Effects {
        let cache = &self.topics[topic::Topic::Servers.index()];
        let objects = cache
            .listing
            .iter()
            .flat_map(|listing| listing.objects.values());
        let mut servers = collections::BTreeMap::new();
        for object in objects {
            match decode::server::decode(&object.name, &object.content) {
                Ok(server) => {
                    servers.insert(object.name.clone(), server);
                }
                Err(e) => log_undecodable(topic::Topic::Servers, &object.name, &e),
            }
        }
        let lapse_deadline = cache.lapse_deadline(now);
        let known = std::mem::replace(&mut self.servers, servers);
        self.lapsed
            .retain(|id, (_, until)| now < *until && !self.servers.contains_key(id));
        let mut effects = Effects::default();
        for (id, server) in &self.servers {
            let before = known.get(id);
            if before != Some(server) {
                log_server(server);
            }
            let is_new_cold = before.is_none_or(|before| {
                before.cold_for != server.cold_for
                    || before.started_unix_ms != server.started_unix_ms
            });
            if !server.cold_for.is_zero() && is_new_cold {
                effects.cold.push((id.clone(), server.cold_for));
            }
        }
        for (id, server) in known {
            if self.servers.contains_key(&id) {
                continue;
            }
            log::emit(&event::Event::ServerGone {
                server: &id,
                lapsed: lapse_deadline.is_some(),
            });
            if let Some(until) = lapse_deadline {
                self.lapsed.insert(id, (server, until));
            } else {
                self.departures.record(&server, now);
            }
        }
        self.departures.apply_list(self.servers.values(), now);
        effects
    }

    fn decode_outages(&mut self) -> Effects {
        let listing = self.topics[topic::Topic::Outages.index()].listing.iter();
        // An object without a readable name may be that of a data centre known to be out.
        let has_unnamed = self.has_unnamed(topic::Topic::Outages);
        let kept = self.outages.iter().filter(|_| has_unnamed);
        let names = listing.flat_map(|listing| listing.objects.keys());
        let outages: collections::BTreeSet<ids::DataCentreId> =
            names.chain(kept).cloned().collect();
        for data_centre in outages.symmetric_difference(&self.outages) {
            log::emit(&event::Event::DataCentreChanged {
                data_centre,
                out: outages.contains(data_centre),
            });
        }
        self.outages = outages;
        Effects::default()
    }

    fn decode_entries(&mut self) -> Effects {
        let listing = self.topics[topic::Topic::Entries.index()].listing.iter();
        let objects = listing.flat_map(|listing| listing.objects.values());
        let mut members = relays::Members::new();
        for object in objects {
            match decode::entry::decode(&object.content) {
                Ok(member) => {
                    members.insert(object.name.clone(), member);
                }
                Err(e) => log_undecodable(topic::Topic::Entries, &object.name, &e),
            }
        }
        self.members = members;
        self.members_revision += 1;
        Effects::default()
    }
}

impl TopicCache {
    /// Records that the platform was read; what was read only in part is not confirmed.
    fn confirm(&mut self, as_of: ids::Timestamp, now: ids::Timestamp) {
        if !self.is_partial {
            self.confirmation.confirm(as_of);
        }
        self.record_recovery(now);
    }

    /// Records that the platform answers again; short failures do not count as outages.
    fn record_recovery(&mut self, now: ids::Timestamp) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now.saturating_sub(since) >= MIN_OUTAGE {
            self.recovered_at = Some(now);
        }
    }

    /// Returns until when servers that are no longer listed stay usable; none unless their
    /// registrations may have lapsed in an outage.
    fn lapse_deadline(&self, now: ids::Timestamp) -> Option<ids::Timestamp> {
        let until = self.recovered_at? + LAPSED_GRACE;
        (now < until).then_some(until)
    }
}

fn log_ignored(topic: topic::Topic, read: objects::Position, known: objects::Position) {
    log::emit(&event::Event::ListingIgnored {
        kind: topic.kind(),
        era: read.era,
        revision: read.revision,
        known_era: known.era,
        known_revision: known.revision,
    });
}

fn log_restored(topic: topic::Topic, read: objects::Position) {
    log::emit(&event::Event::PlatformRestored {
        kind: topic.kind(),
        era: read.era,
        revision: read.revision,
    });
}

fn log_undecodable(topic: topic::Topic, name: &str, e: &decode::DecodeError) {
    log::emit(&event::Event::ObjectNotUnderstood {
        kind: &format!("{topic:?}"),
        name,
        reason: &e.to_string(),
    });
}

fn log_undecoded_part(version: ids::Generation, problem: &str) {
    log::emit(&event::Event::ConfigurationPartUndecoded { version, problem });
}

fn log_server(server: &server::Server) {
    log::emit(&event::Event::ServerListed {
        server: &server.id,
        service: &server.service,
        address: &server.address,
        data_centre: &server.data_centre,
        state: &format!("{:?}", server.state).to_lowercase(),
        cold_for_ms: server.cold_for.as_millis(),
    });
}
