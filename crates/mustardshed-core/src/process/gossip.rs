//! Spread of facts: what is known, and which neighbour may not have it yet.
//!
//! Each fact has one author and a version that grows. An entry keeps the latest of each and hands
//! it on to every neighbour that is not known to have it.
//!
//! Relays form a tree for each author, as in epidemic broadcast trees (Plumtree). An entry that is
//! told only what it knows already declines that author's facts from that neighbour, so that
//! the first to tell remains. An entry that has an author's address is not told it again. It asks
//! all neighbours for the facts of an author of which it has heard nothing new for [`WANT_AFTER`].
//! Both travel in acknowledgements of heartbeats; a neighbour that acknowledges nothing is sent
//! everything.

use std::{collections, time};

use crate::{ids, process::message};

mod neighbour;

/// Facts in one heartbeat, at most.
pub const MAX_FACTS: usize = 200;
/// Silence of an author after which all neighbours are asked for its facts.
pub const WANT_AFTER: time::Duration = time::Duration::from_millis(800);
/// Authors whose facts are asked for in one acknowledgement, at most.
pub const MAX_WANTS: usize = 64;
/// Age after which a fact is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// What a fact is about, under its author.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The author itself.
    Alive,
    /// How busy the author is.
    Busy,
    /// A backend server.
    Load(ids::BackendServerId),
}

/// Author and subject of a fact.
pub type Key = (ids::VmId, Subject);

/// A fact with the time at which it was stated.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredFact {
    /// The fact; its age is that at its receipt.
    pub fact: message::Fact,
    /// Time at which it was stated, by this process's clock.
    pub published_at: ids::Timestamp,
    /// Time at which it was received.
    received_at: ids::Timestamp,
}

impl StoredFact {
    /// Returns incarnation and version.
    fn version(&self) -> (ids::Incarnation, u64) {
        (self.fact.incarnation, self.fact.version)
    }
}

/// Facts and neighbours.
#[derive(Debug, Default)]
pub struct Gossip {
    own: ids::VmId,
    facts: collections::BTreeMap<Key, StoredFact>,
    neighbours: collections::BTreeMap<ids::VmId, neighbour::Neighbour>,
}

impl Gossip {
    /// Makes the empty gossip of an entry.
    pub fn new(own: ids::VmId) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Fills in what a fact leaves out; nothing if that is not known.
    pub fn complete(&self, mut fact: message::Fact) -> Option<message::Fact> {
        let message::FactBody::StillAlive {
            leaving: still_leaving,
            generation: latest_generation,
        } = fact.body
        else {
            return Some(fact);
        };
        let known = self.facts.get(&alive_key(&fact.author))?;
        if known.fact.incarnation != fact.incarnation {
            return None;
        }
        fact.body = known.fact.body.clone();
        if let message::FactBody::Alive {
            leaving,
            generation,
            ..
        } = &mut fact.body
        {
            *leaving = still_leaving;
            *generation = latest_generation;
        }
        Some(fact)
    }

    /// Keeps a fact if it is newer than what is known; returns whether it is.
    pub fn insert_if_newer(&mut self, fact: message::Fact, now: ids::Timestamp) -> bool {
        if fact.age >= FORGET_AFTER {
            return false;
        }
        let key = key_of(&fact);
        let known = StoredFact {
            published_at: now.saturating_sub(fact.age),
            received_at: now,
            fact,
        };
        match self.facts.get(&key) {
            Some(earlier) if earlier.version() >= known.version() => false,
            _ => {
                self.facts.insert(key, known);
                true
            }
        }
    }

    /// Notes that a neighbour has a fact, since it sent it.
    pub fn note_sender_has(&mut self, vm: &str, fact: &message::Fact) {
        if let Some(neighbour) = self.neighbours.get_mut(vm) {
            neighbour.note_known(key_of(fact), (fact.incarnation, fact.version));
        }
    }

    /// Notes an acknowledgement of a heartbeat, with what the neighbour asks for and declines.
    pub fn on_heartbeat_ack(&mut self, vm: &str, ack: &message::HeartbeatAck) {
        if let Some(neighbour) = self.neighbours.get_mut(vm) {
            neighbour.on_heartbeat_ack(ack.echo);
            let is_known = |vm: &&ids::VmId| self.facts.contains_key(&alive_key(vm));
            neighbour.decline(ack.declines.iter().filter(is_known));
            neighbour.want(&ack.wants);
        }
    }

    /// Returns up to [`MAX_WANTS`] of `others` of which nothing new was heard lately.
    pub fn wants(
        &self,
        others: &collections::BTreeSet<&ids::VmId>,
        now: ids::Timestamp,
    ) -> Vec<ids::VmId> {
        let silent: Vec<_> = others
            .iter()
            .filter(|vm| self.is_silent(vm, now))
            .map(|vm| (*vm).clone())
            .collect();
        let count = silent.len();
        if count <= MAX_WANTS {
            return silent;
        }
        let turn = usize::try_from(now.as_millis()).unwrap_or_default() % count;
        let in_turn = silent.into_iter().cycle().skip(turn);
        in_turn.take(MAX_WANTS).collect()
    }

    fn is_silent(&self, author: &str, now: ids::Timestamp) -> bool {
        let alive = self.facts.get(&alive_key(author));
        alive.is_none_or(|known| now.saturating_sub(known.received_at) >= WANT_AFTER)
    }

    /// Forgets what a neighbour was sent; it is another run of the process now.
    pub fn forget_neighbour(&mut self, vm: &str) {
        self.neighbours.remove(vm);
    }

    /// Returns the facts that a neighbour may not have, and takes them as sent.
    ///
    /// Loads are relayed for the steward of each server only: others have stated them too, such as
    /// every entry that has just started and knows of no other.
    pub fn take_facts_for(
        &mut self,
        vm: &str,
        stewards: &collections::BTreeMap<ids::BackendServerId, ids::VmId>,
        now: ids::Timestamp,
    ) -> Vec<message::Fact> {
        let neighbour = self.neighbours.entry(vm.to_owned()).or_default();
        neighbour.begin_heartbeat(now);
        let mut wanted: Vec<_> = self
            .facts
            .iter()
            .filter(|(key, _)| key.0 != vm)
            .filter(|(key, _)| {
                key.0 == self.own || !neighbour.declines(&key.0) && is_relayed(key, stewards)
            })
            .filter_map(|(key, known)| {
                let sent_at = neighbour.last_sent_if_lacking(key, known.version())?;
                Some((sent_at, key, known))
            })
            .collect();
        wanted.sort_by_key(|(sent_at, key, _)| {
            (key.0 != self.own, key.1 != Subject::Alive, *sent_at)
        });
        wanted.truncate(MAX_FACTS);
        wanted
            .into_iter()
            .map(|(_, key, known)| {
                let has_address = neighbour.has_incarnation(key, known.fact.incarnation);
                neighbour.note_sent(key.clone(), known.version(), now);
                with_current_age(known, has_address, now)
            })
            .collect()
    }

    /// Returns the fact that this entry is alive.
    pub fn own_alive_fact(&self, now: ids::Timestamp) -> Option<message::Fact> {
        let key = (self.own.clone(), Subject::Alive);
        self.facts
            .get(&key)
            .map(|known| with_current_age(known, false, now))
    }

    /// Returns how busy a run of an entry said it is.
    pub fn busy(&self, vm: &str, incarnation: ids::Incarnation) -> ids::BusyLevel {
        let known = self.facts.get(&(vm.to_owned(), Subject::Busy));
        match known.map(|known| &known.fact) {
            Some(message::Fact {
                incarnation: stated_by,
                body: message::FactBody::Busy { level },
                ..
            }) if *stated_by == incarnation => *level,
            _ => 0,
        }
    }

    /// Returns all facts on the load of backend servers.
    pub fn loads(&self) -> impl Iterator<Item = &StoredFact> {
        self.facts
            .iter()
            .filter(|((_, subject), _)| matches!(subject, Subject::Load(_)))
            .map(|(_, known)| known)
    }

    /// Forgets what is out of date, and what neighbours are known to have of it.
    pub fn expire(&mut self, now: ids::Timestamp) {
        let count = self.facts.len();
        self.facts
            .retain(|_, known| now.saturating_sub(known.published_at) < FORGET_AFTER);
        if self.facts.len() == count {
            return;
        }
        for neighbour in self.neighbours.values_mut() {
            neighbour.forget(|key| !self.facts.contains_key(key));
        }
    }

    /// Forgets all neighbours but those given.
    pub fn retain_neighbours(&mut self, is_neighbour: impl Fn(&ids::VmId) -> bool) {
        self.neighbours.retain(|vm, _| is_neighbour(vm));
    }
}

fn alive_key(vm: &str) -> Key {
    (vm.to_owned(), Subject::Alive)
}

/// Returns whether a fact is not a load stated by another entry than the server's steward.
fn is_relayed(
    (author, subject): &Key,
    stewards: &collections::BTreeMap<ids::BackendServerId, ids::VmId>,
) -> bool {
    match subject {
        Subject::Alive | Subject::Busy => true,
        Subject::Load(server) => stewards.get(server) == Some(author),
    }
}

/// Returns a fact with its present age, without what a neighbour has that knows the address.
fn with_current_age(known: &StoredFact, has_address: bool, now: ids::Timestamp) -> message::Fact {
    let mut fact = known.fact.clone();
    fact.age = now.saturating_sub(known.published_at);
    if let (
        true,
        message::FactBody::Alive {
            leaving,
            generation,
            ..
        },
    ) = (has_address, &fact.body)
    {
        fact.body = message::FactBody::StillAlive {
            leaving: *leaving,
            generation: *generation,
        };
    }
    fact
}

fn key_of(fact: &message::Fact) -> Key {
    let subject = match &fact.body {
        message::FactBody::Alive { .. } | message::FactBody::StillAlive { .. } => Subject::Alive,
        message::FactBody::Busy { .. } => Subject::Busy,
        message::FactBody::Load { server, .. } => Subject::Load(server.clone()),
    };
    (fact.author.clone(), subject)
}
