//! One entry as another one knows it.

use crate::{
    ids, mutation,
    process::{message, node},
};

use super::{Change, DEAD_AFTER, SUSPECT_AFTER};

/// Whether a member is taken to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It was heard of lately.
    Live,
    /// It has been silent for a while.
    Suspect,
    /// It has been silent for so long that others take over.
    Dead,
}

/// One entry as another one knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Its present run.
    pub incarnation: ids::Incarnation,
    /// Version of its latest fact.
    pub version: u64,
    /// `IP:PORT` towards callers.
    pub address: String,
    /// `IP:PORT` towards peers.
    pub peer_address: String,
    /// Data centre.
    pub data_centre: ids::DataCentreId,
    /// Whether it leaves.
    pub leaving: bool,
    /// Newest generation that it has in force.
    pub generation: ids::Generation,
    /// Time at which its latest fact was stated.
    pub last_seen_at: ids::Timestamp,
    /// Whether it is taken to run.
    pub state: State,
}

impl Member {
    /// Makes the member that this process is.
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

    /// Makes a member of its first fact.
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

    /// Returns whether this is a later run than another one of the same VM.
    pub fn supersedes(&self, incarnation: ids::Incarnation) -> bool {
        let is_taken_for_over = self.leaving && mutation::on("leaving_is_over");
        self.incarnation > incarnation || is_taken_for_over
    }

    /// Takes a later fact; returns the change if others are to act upon it.
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
        changed.then(|| self.change(&fact.author, restarted))
    }

    /// Moves on to suspect or dead; returns the change if there is one.
    pub(super) fn expire(&mut self, vm: &str, now: ids::Timestamp) -> Option<Change> {
        let state = self.state_at(now);
        if state == self.state {
            return None;
        }
        self.state = state;
        Some(self.change(vm, false))
    }

    /// Describes the present state as a change.
    pub(super) fn change(&self, vm: &str, restarted: bool) -> Change {
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
