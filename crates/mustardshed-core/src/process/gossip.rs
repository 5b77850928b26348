//! Gossip of facts: the latest facts, and which neighbours may not have them yet.
//!
//! Each fact has one author and a growing version. An entry keeps the latest version of each and
//! relays it to every neighbour that is not known to have it.
//!
//! Relays form a tree for each author, as in epidemic broadcast trees (Plumtree). An entry that
//! gets only known facts of an author from a neighbour declines that author there (Plumtree's
//! PRUNE), so that the fastest neighbour remains. An entry that has heard nothing new of an author
//! for [`WANT_AFTER`] asks all neighbours for that author's facts (GRAFT). Both travel in
//! acknowledgements of heartbeats; a neighbour that acknowledges none for a while is sent
//! everything again. An author's addresses are not repeated to a neighbour that has them.

use std::{collections, time};

use crate::{ids, process::message};

mod neighbour;

/// Most facts in one heartbeat.
pub const MAX_FACTS: usize = 200;
/// Time without news of an author after which all neighbours are asked for its facts.
pub const WANT_AFTER: time::Duration = time::Duration::from_millis(800);
/// Most authors whose facts are asked for in one acknowledgement.
pub const MAX_WANTS: usize = 64;
/// Age after which a fact is forgotten.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// What an author's fact is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// The author's liveness.
    Alive,
    /// How busy the author is.
    Busy,
    /// The load of a backend server.
    Load(ids::BackendServerId),
}

/// Author and subject of a fact.
pub type Key = (ids::VmId, Subject);

/// A fact with the times at which it was published and received, by this process's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredFact {
    /// The fact, with its age at receipt.
    pub fact: message::Fact,
    /// Time at which its author published it.
    pub published_at: ids::Timestamp,
    /// Time at which it was received.
    received_at: ids::Timestamp,
}

impl StoredFact {
    /// Returns the author's incarnation and the version, which order the facts of one key.
    fn version(&self) -> (ids::Incarnation, u64) {
        (self.fact.incarnation, self.fact.version)
    }
}

/// Latest facts, and what each neighbour has of them.
#[derive(Debug, Default)]
pub struct Gossip {
    own: ids::VmId,
    facts: collections::BTreeMap<Key, StoredFact>,
    neighbours: collections::BTreeMap<ids::VmId, neighbour::Neighbour>,
}

impl Gossip {
    /// Makes the gossip state of an entry that knows no facts.
    pub fn new(own: ids::VmId) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Expands a [`message::FactBody::StillAlive`] by the known addresses; other facts stay as is.
    ///
    /// Returns `None` if no address of that author's incarnation is known.
    pub fn complete(&self, mut fact: message::Fact) -> Option<message::Fact> {
        let message::FactBody::StillAlive {
            leaving: latest_leaving,
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
            *leaving = latest_leaving;
            *generation = latest_generation;
        }
        Some(fact)
    }

    /// Stores a fact if it is newer than the known one; returns whether it was stored.
    pub fn insert_if_newer(&mut self, fact: message::Fact, now: ids::Timestamp) -> bool {
        if fact.age >= FORGET_AFTER {
            return false;
        }
        let key = key_of(&fact);
        let stored = StoredFact {
            published_at: now.saturating_sub(fact.age),
            received_at: now,
            fact,
        };
        match self.facts.get(&key) {
            Some(earlier) if earlier.version() >= stored.version() => false,
            _ => {
                self.facts.insert(key, stored);
                true
            }
        }
    }

    /// Records that a neighbour has a fact, since it sent it.
    pub fn note_sender_has(&mut self, vm: &str, fact: &message::Fact) {
        if let Some(neighbour) = self.neighbours.get_mut(vm) {
            neighbour.note_known(key_of(fact), (fact.incarnation, fact.version));
        }
    }

    /// Handles an acknowledged heartbeat, with the authors that the neighbour wants and declines.
    pub fn on_heartbeat_ack(&mut self, vm: &str, ack: &message::HeartbeatAck) {
        if let Some(neighbour) = self.neighbours.get_mut(vm) {
            neighbour.on_heartbeat_ack(ack.echo);
            let is_known = |vm: &&ids::VmId| self.facts.contains_key(&alive_key(vm));
            neighbour.decline(ack.declines.iter().filter(is_known));
            neighbour.want(&ack.wants);
        }
    }

    /// Returns up to [`MAX_WANTS`] of `others` of which nothing new was heard for [`WANT_AFTER`].
    ///
    /// If there are more, each call starts at another one, so that all get their turn.
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
        let first = usize::try_from(now.as_millis()).unwrap_or_default() % count;
        let rotated = silent.into_iter().cycle().skip(first);
        rotated.take(MAX_WANTS).collect()
    }

    fn is_silent(&self, author: &str, now: ids::Timestamp) -> bool {
        let alive = self.facts.get(&alive_key(author));
        alive.is_none_or(|known| now.saturating_sub(known.received_at) >= WANT_AFTER)
    }

    /// Forgets what a neighbour was sent, since its process has restarted.
    pub fn forget_neighbour(&mut self, vm: &str) {
        self.neighbours.remove(vm);
    }

    /// Returns up to [`MAX_FACTS`] facts that a neighbour may not have, and records them as sent.
    ///
    /// Own facts go first, then those on liveness, then those that were sent longest ago. Of other
    /// authors, loads are relayed only if they come from the server's steward: others publish them
    /// too, such as an entry that has just started and knows of no other.
    pub fn take_facts_for(
        &mut self,
        vm: &str,
        stewards: &collections::BTreeMap<ids::BackendServerId, ids::VmId>,
        now: ids::Timestamp,
    ) -> Vec<message::Fact> {
        let neighbour = self.neighbours.entry(vm.to_owned()).or_default();
        neighbour.begin_heartbeat(now);
        let mut missing: Vec<_> = self
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
        missing.sort_by_key(|(sent_at, key, _)| {
            (key.0 != self.own, key.1 != Subject::Alive, *sent_at)
        });
        missing.truncate(MAX_FACTS);
        missing
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

    /// Returns the busy level that this incarnation of an entry published; zero if it did not.
    pub fn busy(&self, vm: &str, incarnation: ids::Incarnation) -> ids::BusyLevel {
        let known = self.facts.get(&(vm.to_owned(), Subject::Busy));
        match known.map(|known| &known.fact) {
            Some(message::Fact {
                incarnation: author_incarnation,
                body: message::FactBody::Busy { level },
                ..
            }) if *author_incarnation == incarnation => *level,
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

    /// Forgets facts that are too old, and what neighbours are known to have of them.
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

/// Returns whether a fact of another author is relayed: loads only if from the server's steward.
fn is_relayed(
    (author, subject): &Key,
    stewards: &collections::BTreeMap<ids::BackendServerId, ids::VmId>,
) -> bool {
    match subject {
        Subject::Alive | Subject::Busy => true,
        Subject::Load(server) => stewards.get(server) == Some(author),
    }
}

/// Returns a fact with its current age, in its short form if the receiver has the address.
fn with_current_age(stored: &StoredFact, has_address: bool, now: ids::Timestamp) -> message::Fact {
    let mut fact = stored.fact.clone();
    fact.age = now.saturating_sub(stored.published_at);
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
