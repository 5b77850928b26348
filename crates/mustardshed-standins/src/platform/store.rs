//! The stored objects, by kind and name.

use std::{collections, time};

use bytes::Bytes;
use displaydoc::Display;

use crate::platform::object;

/// Largest total size of values, superseded ones included, in bytes.
const MAX_HELD_BYTES: usize = 1_024 * 1_024 * 1_024;
/// Largest number of objects, deleted ones included.
const MAX_OBJECTS: usize = 1_000_000;

/// Why a write did not take effect.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum WriteError {
    /// the object is at version {0}
    Conflict(u64),
    /// the store is full
    Full,
    /// there is no such object
    Missing,
}

impl std::error::Error for WriteError {}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expected {
    /// The object doesn't exist.
    Missing,
    /// The object exists.
    Present,
    /// The object is at this version.
    At(u64),
}

impl Expected {
    /// Checks the current version, which is zero if there is no object.
    const fn check(self, present: u64) -> Result<(), WriteError> {
        match self {
            Self::Missing if present == 0 => Ok(()),
            Self::Missing => Err(WriteError::Conflict(present)),
            Self::Present | Self::At(_) if present == 0 => Err(WriteError::Missing),
            Self::At(version) if version != present => Err(WriteError::Conflict(present)),
            Self::Present | Self::At(_) => Ok(()),
        }
    }
}

/// Objects by kind and name, with one version counter.
#[derive(Clone, Debug, Default)]
pub struct Store {
    kinds: collections::BTreeMap<String, collections::BTreeMap<String, object::Object>>,
    version: u64,
    objects: usize,
    held_bytes: usize,
}

impl Store {
    /// Returns the state of an object at `time`, a deletion included.
    pub fn get(&self, kind: &str, name: &str, time: time::Duration) -> Option<&object::State> {
        self.object(kind, name)?.at(time)
    }

    /// Returns the version of the last write.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the objects of `kind` at `time` sorted by name, deletions included.
    pub fn states<'a>(
        &'a self,
        kind: &str,
        time: time::Duration,
    ) -> impl Iterator<Item = (&'a str, &'a object::State)> {
        let objects = self.kinds.get(kind).into_iter().flatten();
        objects.filter_map(move |(name, object)| Some((name.as_str(), object.at(time)?)))
    }

    /// Writes `value` at time `now` if the precondition holds.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Conflict`] with the current version, [`WriteError::Missing`], or
    /// [`WriteError::Full`].
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Expected,
        value: Bytes,
        now: time::Duration,
    ) -> Result<u64, WriteError> {
        expected.check(self.present(kind, name))?;
        let held = self.held_bytes.saturating_add(value.len());
        if held > MAX_HELD_BYTES || self.objects >= MAX_OBJECTS {
            return Err(WriteError::Full);
        }
        Ok(self.write(kind, name, Some(value), now))
    }

    /// Deletes an object at `now` if the precondition holds, and returns the deletion's version.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Missing`], or [`WriteError::Conflict`] with the current version.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: Expected,
        now: time::Duration,
    ) -> Result<u64, WriteError> {
        expected.check(self.present(kind, name))?;
        Ok(self.write(kind, name, None, now))
    }

    fn present(&self, kind: &str, name: &str) -> u64 {
        let object = self.object(kind, name);
        object.map_or(0, object::Object::version)
    }

    fn object(&self, kind: &str, name: &str) -> Option<&object::Object> {
        self.kinds.get(kind)?.get(name)
    }

    fn write(&mut self, kind: &str, name: &str, value: Option<Bytes>, now: time::Duration) -> u64 {
        self.version += 1;
        let state = object::State {
            version: self.version,
            value,
            written_at: now,
        };
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        match objects.entry(name.to_owned()) {
            collections::btree_map::Entry::Occupied(mut entry) => {
                self.held_bytes -= entry.get().held_bytes();
                entry.get_mut().write(state);
                self.held_bytes += entry.get().held_bytes();
            }
            collections::btree_map::Entry::Vacant(entry) => {
                self.objects += 1;
                self.held_bytes += entry.insert(object::Object::new(state)).held_bytes();
            }
        }
        self.version
    }
}
