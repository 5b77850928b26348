//! One entry as another entry sees it.

use crate::{
    ids, mutation,
    process::{message, node},
};

use super::{Change, DEAD_AFTER, SUSPECT_AFTER};

/// Liveness of a member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It was heard of recently.
    Live,
    /// Nothing was heard of it for [`SUSPECT_AFTER`].
    Suspect,
    /// Nothing was heard of it for [`DEAD_AFTER`]; other entries take over its work.
    Dead,
}

/// One entry as another entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its current incarnation.
    pub incarnation: ids::Incarnation,
    /// Version of its latest `Alive` fact.
    pub version: u64,
    /// `IP:PORT` towards callers.
    pub address: String,
    /// `IP:PORT` towards peers.
    pub peer_address: String,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Newest generation that it has in force.
    pub generation: ids::Generation,
    /// Time at which its latest `Alive` fact was published, by this process's clock.
    pub last_seen_at: ids::Timestamp,
    /// Liveness.
    pub state: State,
}

impl Member {
    /// Makes the member for this process itself.
    pub(super) fn from_identity(identity: &node::Identity, now: ids::Timestamp) -> Self {
        Self {
            incarnation: identity.incarnation,
            version: 0,
            address: identity.address.clone(),
            peer_address: identity.peer_address.clone(),
            data_centre: identity.data_centre.clone(),
            leaving: false,
            generation: 0,
            last_seen_at: now,
            state: State::Live,
        }
    }

    /// Makes a live member from an `Alive` fact; `None` for other facts.
    pub(super) fn from_fact(fact: &message::Fact, now: ids::Timestamp) -> Option<Self> {
        let message::FactBody::Alive {
            address,
            peer_address,
            data_centre,
            leaving,
            generation,
        } = &fact.body
        else {
            return None;
        };
        Some(Self {
            incarnation: fact.incarnation,
            version: fact.version,
            address: address.clone(),
            peer_address: peer_address.clone(),
            data_centre: data_centre.clone(),
            leaving: *leaving,
            generation: *generation,
            last_seen_at: now.saturating_sub(fact.age),
            state: State::Live,
        })
    }

    /// Returns whether this is a later incarnation of the entry than the given one.
    pub fn supersedes(&self, incarnation: ids::Incarnation) -> bool {
        let counts_as_ended = self.leaving && mutation::on("leaving_is_over");
        self.incarnation > incarnation || counts_as_ended
    }

    /// Applies a fact if it is newer; returns the change if other components must react to it.
    pub(super) fn apply_fact(
        &mut self,
        fact: &message::Fact,
        now: ids::Timestamp,
    ) -> Option<Change> {
        if (fact.incarnation, fact.version) <= (self.incarnation, self.version) {
            return None;
        }
        let restarted = fact.incarnation > self.incarnation;
        let mut next = Self::from_fact(fact, now)?;
        next.last_seen_at = next.last_seen_at.max(self.last_seen_at);
        if !restarted {
            next.generation = next.generation.max(self.generation);
        }
        next.state = next.state_at(now);
        let changed = restarted || next.leaving != self.leaving || next.state != self.state;
        *self = next;
        changed.then(|| self.to_change(&fact.author, restarted))
    }

    /// Updates the liveness; returns the change if there is one.
    pub(super) fn expire(&mut self, vm: &str, now: ids::Timestamp) -> Option<Change> {
        let state = self.state_at(now);
        if state == self.state {
            return None;
        }
        self.state = state;
        Some(self.to_change(vm, false))
    }

    /// Returns the current state as a change.
    pub(super) fn to_change(&self, vm: &str, restarted: bool) -> Change {
        let state = match self.state {
            State::Live if self.leaving => "leaving",
            State::Live => "live",
            State::Suspect => "suspect",
            State::Dead => "dead",
        };
        Change {
            vm: vm.to_owned(),
            state,
            restarted,
        }
    }

    fn state_at(&self, now: ids::Timestamp) -> State {
        let silence = now.saturating_sub(self.last_seen_at);
        if silence >= DEAD_AFTER {
            State::Dead
        } else if silence >= SUSPECT_AFTER {
            State::Suspect
        } else {
            State::Live
        }
    }
}
