//! The stored objects, by kind and name.

use std::{collections, time};

use bytes::Bytes;
use displaydoc::Display;

use crate::platform::object;

/// Bytes of values that are held at most, superseded ones included.
const MAX_HELD_BYTES: usize = 1_024 * 1_024 * 1_024;
/// Objects that are held at most, deleted ones included.
const MAX_OBJECTS: usize = 1_000_000;

/// Why a write was not carried out.
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

/// Objects by kind and name, with one version counter.
#[derive(Debug, Default)]
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

    /// Returns the objects of `kind` at `time` whose names start with `prefix`, in the order of names.
    pub fn list<'a>(
        &'a self,
        kind: &str,
        prefix: &'a str,
        time: time::Duration,
    ) -> impl Iterator<Item = (&'a str, u64, &'a Bytes)> {
        self.kinds
            .get(kind)
            .into_iter()
            .flat_map(move |objects| objects.range(prefix.to_owned()..))
            .take_while(move |(name, _)| name.starts_with(prefix))
            .filter_map(move |(name, object)| {
                let state = object.at(time)?;
                Some((name.as_str(), state.version, state.value.as_ref()?))
            })
    }

    /// Writes `value` at time `now` if the object is at `expected` (zero: if there is none).
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Conflict`] with the present version, or [`WriteError::Full`].
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Bytes,
        now: time::Duration,
    ) -> Result<u64, WriteError> {
        let present = self.object(kind, name).map_or(0, object::Object::version);
        if present != expected {
            return Err(WriteError::Conflict(present));
        }
        let held = self.held_bytes.saturating_add(value.len());
        if held > MAX_HELD_BYTES || self.objects >= MAX_OBJECTS {
            return Err(WriteError::Full);
        }
        Ok(self.write(kind, name, Some(value), now))
    }

    /// Deletes an object at time `now` if it is at `expected`, and returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Returns [`WriteError::Missing`], or [`WriteError::Conflict`] with the present version.
    pub fn delete(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        now: time::Duration,
    ) -> Result<u64, WriteError> {
        match self.object(kind, name).map_or(0, object::Object::version) {
            0 => Err(WriteError::Missing),
            present if present != expected => Err(WriteError::Conflict(present)),
            _ => Ok(self.write(kind, name, None, now)),
        }
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
