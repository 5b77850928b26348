//! One stored object with its earlier states, for stale reads.

use std::{collections, time};

use bytes::Bytes;

/// Largest number of superseded states kept per object.
const MAX_EARLIER: usize = 8;

/// State of an object between two writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct State {
    /// Version that the write gave it.
    pub version: u64,
    /// Value; `None` after a deletion.
    pub value: Option<Bytes>,
    /// Time of the write.
    pub written_at: time::Duration,
}

/// A stored object.
#[derive(Clone, Debug)]
pub struct Object {
    present: State,
    earlier: collections::VecDeque<State>,
}

impl Object {
    /// Creates an object from its first write.
    pub const fn new(state: State) -> Self {
        Self {
            present: state,
            earlier: collections::VecDeque::new(),
        }
    }

    /// Returns the current state.
    pub const fn present(&self) -> &State {
        &self.present
    }

    /// Returns the current version; zero after a deletion.
    pub const fn version(&self) -> u64 {
        match self.present.value {
            Some(_) => self.present.version,
            None => 0,
        }
    }

    /// Returns the state at `time`; `None` if there was no object or the state is no longer kept.
    pub fn at(&self, time: time::Duration) -> Option<&State> {
        if self.present.written_at <= time {
            return Some(&self.present);
        }
        self.earlier
            .iter()
            .rev()
            .find(|state| state.written_at <= time)
    }

    /// Replaces the current state.
    pub fn write(&mut self, state: State) {
        let superseded = std::mem::replace(&mut self.present, state);
        self.earlier.push_back(superseded);
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
    }

    /// Returns the number of bytes held, superseded values included.
    pub fn held_bytes(&self) -> usize {
        let earlier: usize = self.earlier.iter().map(State::held_bytes).sum();
        self.present.held_bytes() + earlier
    }
}

impl State {
    /// Returns the length of the value.
    fn held_bytes(&self) -> usize {
        self.value.as_ref().map_or(0, Bytes::len)
    }
}
