//! What the platform holds, as far as it was read.

use std::{collections, sync, time};

use mustardshed::{
    core::{
        forward::{relays, routes, server},
        ids,
        version::confirmation,
    },
    platform::{decode, objects, topic},
    wire::forward,
};

use crate::log::{self, event};

/// Time for which servers count whose entries were gone when the platform came back.
const LAPSED_FOR: time::Duration = time::Duration::from_millis(1_800);
/// Silence of the platform after which missing entries may have lapsed meanwhile.
const OUTAGE_AFTER: time::Duration = time::Duration::from_millis(900);

/// One kind of objects as it was read.
#[derive(Debug, Default)]
struct Followed {
    listing: Option<objects::Listing>,
    /// Revision of the last change that was read.
    changed: u64,
    confirmation: confirmation::Confirmation,
    /// End of the last outage of the platform.
    returned_at: Option<ids::Timestamp>,
    failing_since: Option<ids::Timestamp>,
}

/// What the platform holds.
#[derive(Debug)]
pub struct View {
    topics: [Followed; topic::Topic::ALL.len()],
    routes: sync::Arc<routes::Routes>,
    servers: collections::BTreeMap<ids::BackendServerId, server::Server>,
    lapsed: collections::BTreeMap<ids::BackendServerId, (server::Server, ids::Timestamp)>,
    outages: collections::BTreeSet<ids::DataCentreId>,
    members: relays::Members,
}

/// What a change of the view asks of others.
#[derive(Debug, Default)]
pub struct Noticed {
    /// Servers that are cold, with the time left.
    pub cold: Vec<(ids::BackendServerId, time::Duration)>,
    /// Whether another configuration is in force.
    pub has_new_routes: bool,
}

impl Default for View {
    fn default() -> Self {
        Self {
            topics: Default::default(),
            routes: sync::Arc::new(routes::Routes::default()),
            servers: collections::BTreeMap::new(),
            lapsed: collections::BTreeMap::new(),
            outages: collections::BTreeSet::new(),
            members: relays::Members::new(),
        }
    }
}

impl View {
    /// Returns the configuration in force, if any was read.
    #[must_use]
    pub fn routes(&self) -> Option<&sync::Arc<routes::Routes>> {
        (self.routes.version > 0).then_some(&self.routes)
    }

    /// Returns the revision from which to watch a kind, if it was listed.
    #[must_use]
    pub fn revision(&self, topic: topic::Topic) -> Option<u64> {
        let listing = self.topics[topic.index()].listing.as_ref();
        listing.map(|listing| listing.revision)
    }

    /// Returns whether a kind is known to be as read, at most `limit` ago.
    #[must_use]
    pub fn is_fresh(
        &self,
        topic: topic::Topic,
        limit: time::Duration,
        now: ids::Timestamp,
    ) -> bool {
        self.topics[topic.index()]
            .confirmation
            .is_within(limit, now)
    }

    /// Returns the age of what was read of a kind.
    #[must_use]
    pub fn age(&self, topic: topic::Topic, now: ids::Timestamp) -> Option<time::Duration> {
        self.topics[topic.index()].confirmation.age(now)
    }

    /// Returns the registered entries.
    #[must_use]
    pub const fn members(&self) -> &relays::Members {
        &self.members
    }

    /// Returns a server that may be sent work.
    #[must_use]
    pub fn usable(&self, id: &str, now: ids::Timestamp) -> Option<&server::Server> {
        let lapsed = || {
            let lapsed = self.lapsed.get(id).filter(|(_, until)| now < *until);
            lapsed.map(|(server, _)| server)
        };
        let server = self.servers.get(id).or_else(lapsed)?;
        self.takes_work(server).then_some(server)
    }

    /// Returns the servers of a service that may be sent work.
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
        all.filter(move |server| server.service == service && self.takes_work(server))
    }

    /// Returns whether a server is listed.
    #[must_use]
    pub fn is_listed(&self, id: &str) -> bool {
        self.servers.contains_key(id) || self.lapsed.contains_key(id)
    }

    /// Returns a server that is listed or has lapsed lately, whether or not it takes work.
    #[must_use]
    pub fn listed_server(&self, id: &str) -> Option<&server::Server> {
        let lapsed = || self.lapsed.get(id).map(|(server, _)| server);
        self.servers.get(id).or_else(lapsed)
    }

    /// Returns the listed servers.
    pub fn servers(&self) -> impl Iterator<Item = &server::Server> {
        self.servers.values()
    }

    /// Returns the server that is named by its id or its address.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&ids::BackendServerId> {
        if let Some((id, _)) = self.servers.get_key_value(name) {
            return Some(id);
        }
        let mut servers = self.servers.values();
        servers
            .find(|server| server.address == name)
            .map(|server| &server.id)
    }

    fn takes_work(&self, server: &server::Server) -> bool {
        server.state == server::State::Ready && !self.outages.contains(&server.data_centre)
    }

    /// Takes that a kind could not be read.
    pub fn failed(&mut self, topic: topic::Topic, now: ids::Timestamp) {
        self.topics[topic.index()].failing_since.get_or_insert(now);
    }

    /// Takes all objects of a kind, read from the platform or told by a peer as of `as_of`.
    pub fn listed(
        &mut self,
        topic: topic::Topic,
        listing: objects::Listing,
        as_of: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Noticed {
        let followed = &mut self.topics[topic.index()];
        let known = followed.listing.as_ref();
        if known.is_some_and(|known| listing.revision < known.revision) {
            return Noticed::default();
        }
        let is_same = known.is_some_and(|known| known.objects == listing.objects);
        if !is_same {
            followed.changed = listing.revision;
        }
        followed.listing = Some(listing);
        followed.answered(as_of, now);
        if is_same {
            return Noticed::default();
        }
        self.decode(topic, now)
    }

    /// Takes the changes of a kind since it was last read; the call for them began at `as_of`.
    pub fn changed(
        &mut self,
        topic: topic::Topic,
        changes: objects::Changes,
        as_of: ids::Timestamp,
        now: ids::Timestamp,
    ) -> Noticed {
        let followed = &mut self.topics[topic.index()];
        let Some(listing) = &mut followed.listing else {
            return Noticed::default();
        };
        if changes.revision < listing.revision {
            return Noticed::default();
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
        listing.revision = changes.revision;
        if !is_same {
            followed.changed = changes.revision;
        }
        followed.answered(as_of, now);
        if is_same {
            return Noticed::default();
        }
        self.decode(topic, now)
    }

    /// Returns how far a kind was read, to be told to a peer.
    #[must_use]
    pub fn state(&self, topic: topic::Topic, now: ids::Timestamp) -> Option<forward::TopicState> {
        let followed = &self.topics[topic.index()];
        followed.listing.as_ref()?;
        let age = followed.confirmation.age(now)?;
        Some(forward::TopicState {
            changed: followed.changed,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1,
            is_failing: followed.failing_since.is_some(),
        })
    }

    /// Returns the objects of a kind, to be told to a peer.
    #[must_use]
    pub fn objects(&self, topic: topic::Topic) -> Vec<forward::Object> {
        let listing = self.topics[topic.index()].listing.iter();
        let objects = listing.flat_map(|listing| listing.objects.values());
        let objects = objects.map(|object| forward::Object {
            name: object.name.clone(),
            revision: object.revision,
            content: object.content.clone(),
        });
        objects.collect()
    }

    /// Takes how far a peer has read a kind; returns whether its objects are wanted.
    pub fn peer_read(
        &mut self,
        topic: topic::Topic,
        state: forward::TopicState,
        asked_at: ids::Timestamp,
        follows_peers: bool,
    ) -> bool {
        let as_of = asked_at.saturating_sub(time::Duration::from_millis(state.age_ms));
        let followed = &mut self.topics[topic.index()];
        // A leaf asks the platform so seldom that it learns from its relay of an outage and its end.
        if state.is_failing && follows_peers {
            followed.failing_since.get_or_insert(asked_at);
        } else if follows_peers {
            followed.returned(asked_at);
        }
        let known = followed.listing.as_ref().map(|listing| listing.revision);
        if known.is_some_and(|known| known >= state.changed) {
            followed.confirmation.confirm(as_of);
            return false;
        }
        // Revisions are in one order, whereas a read confirms as of its beginning: a peer that has read
        // a later change may be sure of it since an earlier time than this entry is of what it knows.
        true
    }

    fn decode(&mut self, topic: topic::Topic, now: ids::Timestamp) -> Noticed {
        match topic {
            topic::Topic::Configuration => self.decode_configuration(),
            topic::Topic::Servers => self.decode_servers(now),
            topic::Topic::Outages => self.decode_outages(),
            topic::Topic::Entries => self.decode_entries(),
        }
    }

    fn decode_configuration(&mut self) -> Noticed {
        let listing = self.topics[topic::Topic::Configuration.index()]
            .listing
            .as_ref();
        let object = listing.and_then(|listing| listing.objects.get(decode::configuration::NAME));
        let Some(object) = object else {
            return Noticed::default();
        };
        let routes = match decode::configuration::decode(&object.content) {
            Ok(routes) => routes,
            Err(e) => {
                not_understood(topic::Topic::Configuration, &object.name, &e);
                return Noticed::default();
            }
        };
        if routes.version <= self.routes.version {
            return Noticed::default();
        }
        log::emit(&event::Event::RoutesInForce {
            version: routes.version,
            revision: object.revision,
        });
        self.routes = sync::Arc::new(routes);
        Noticed {
            has_new_routes: true,
            ..Noticed::default()
        }
    }

    fn decode_servers(&mut self, now: ids::Timestamp) -> Noticed {
        let followed = &self.topics[topic::Topic::Servers.index()];
        let objects = followed
            .listing
            .iter()
            .flat_map(|listing| listing.objects.values());
        let mut servers = collections::BTreeMap::new();
        for object in objects {
            match decode::server::decode(&object.name, &object.content) {
                Ok(server) => {
                    servers.insert(object.name.clone(), server);
                }
                Err(e) => not_understood(topic::Topic::Servers, &object.name, &e),
            }
        }
        let lapses_until = followed.lapses_until(now);
        let known = std::mem::replace(&mut self.servers, servers);
        self.lapsed
            .retain(|id, (_, until)| now < *until && !self.servers.contains_key(id));
        let mut noticed = Noticed::default();
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
                noticed.cold.push((id.clone(), server.cold_for));
            }
        }
        for (id, server) in known {
            if self.servers.contains_key(&id) {
                continue;
            }
            log::emit(&event::Event::ServerGone {
                server: &id,
                lapsed: lapses_until.is_some(),
            });
            if let Some(until) = lapses_until {
                self.lapsed.insert(id, (server, until));
            }
        }
        noticed
    }

    fn decode_outages(&mut self) -> Noticed {
        let listing = self.topics[topic::Topic::Outages.index()].listing.iter();
        let names = listing.flat_map(|listing| listing.objects.keys());
        let outages: collections::BTreeSet<ids::DataCentreId> = names.cloned().collect();
        for data_centre in outages.symmetric_difference(&self.outages) {
            log::emit(&event::Event::DataCentreChanged {
                data_centre,
                out: outages.contains(data_centre),
            });
        }
        self.outages = outages;
        Noticed::default()
    }

    fn decode_entries(&mut self) -> Noticed {
        let listing = self.topics[topic::Topic::Entries.index()].listing.iter();
        let objects = listing.flat_map(|listing| listing.objects.values());
        let mut members = relays::Members::new();
        for object in objects {
            match decode::entry::decode(&object.content) {
                Ok(member) => {
                    members.insert(object.name.clone(), member);
                }
                Err(e) => not_understood(topic::Topic::Entries, &object.name, &e),
            }
        }
        self.members = members;
        Noticed::default()
    }
}

impl Followed {
    fn answered(&mut self, as_of: ids::Timestamp, now: ids::Timestamp) {
        self.confirmation.confirm(as_of);
        self.returned(now);
    }

    /// Takes that the platform answers.
    fn returned(&mut self, now: ids::Timestamp) {
        let Some(since) = self.failing_since.take() else {
            return;
        };
        if now.saturating_sub(since) >= OUTAGE_AFTER {
            self.returned_at = Some(now);
        }
    }

    /// Returns until when servers count that are missing now, if they may have lapsed in an outage.
    fn lapses_until(&self, now: ids::Timestamp) -> Option<ids::Timestamp> {
        let until = self.returned_at? + LAPSED_FOR;
        (now < until).then_some(until)
    }
}

fn not_understood(topic: topic::Topic, name: &str, e: &decode::DecodeError) {
    log::emit(&event::Event::ObjectNotUnderstood {
        kind: &format!("{topic:?}"),
        name,
        reason: &e.to_string(),
    });
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
