//! State of the platform, shared by its connections.

use std::{sync, time};

use bytes::Bytes;
use tokio::sync::watch;

use crate::platform::{call, calls, faults, faults_change, object, store, vm, vm_list, write_log};

/// State of a running platform.
#[derive(Debug)]
pub struct State {
    started_at: tokio::time::Instant,
    inner: sync::Mutex<Inner>,
    changes: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Inner {
    store: store::Store,
    /// Copy from which the store is restored.
    copy: store::Store,
    /// Number of restorations.
    era: u64,
    vms: vm_list::VmList,
    faults: faults::Faults,
    calls: calls::Calls,
    writes: write_log::WriteLog,
}

/// A write that took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Written {
    /// Version that it gave the object.
    pub version: u64,
    /// Whether its response is dropped.
    pub answer_lost: bool,
}

/// An object as a read returns it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shown {
    /// Name of the object.
    pub name: String,
    /// Version of the object.
    pub version: u64,
    /// Value of the object.
    pub value: Bytes,
}

/// The objects of a kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Objects, sorted by name.
    pub objects: Vec<Shown>,
    /// Version of the last write that the list contains.
    pub version: u64,
}

/// An object that was written or deleted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changed {
    /// Name of the object.
    pub name: String,
    /// Version of the change.
    pub version: u64,
    /// Value; `None` after a deletion.
    pub value: Option<Bytes>,
}

/// Changes of a kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Changed objects, sorted by version.
    pub changed: Vec<Changed>,
    /// Version from which to watch on.
    pub version: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            started_at: tokio::time::Instant::now(),
            inner: sync::Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl State {
    /// Counts a call, and returns its delay before and after its effect; `None` if it is refused.
    pub fn begin(&self, call: &call::Call) -> Option<time::Duration> {
        let mut inner = self.lock();
        inner.calls.count(call);
        let refused = inner.faults.refuses(&call.caller);
        (!refused).then(|| inner.faults.half_delay())
    }

    /// Returns whether calls of `caller` are refused.
    pub fn refuses(&self, caller: &str) -> bool {
        self.lock().faults.refuses(caller)
    }

    /// Returns the name under which lists and watches show an object.
    pub fn shown_name<'a>(&self, name: &'a str) -> &'a str {
        let is_hidden = self.lock().faults.unnamed.contains(name);
        if is_hidden { "" } else { name }
    }

    /// Reads an object or its deletion, as stale as the faults ask for.
    pub fn get(&self, kind: &str, name: &str) -> Option<object::State> {
        let inner = self.lock();
        let shown_at = self.now().saturating_sub(inner.faults.staleness());
        inner.store.get(kind, name, shown_at).cloned()
    }

    /// Reads the current state of an object or its deletion.
    pub fn present(&self, kind: &str, name: &str) -> Option<object::State> {
        self.lock().store.get(kind, name, self.now()).cloned()
    }

    /// Lists the objects of a kind, as stale as the faults ask for.
    pub fn list(&self, kind: &str) -> Listed {
        let inner = self.lock();
        let shown_at = self.now().saturating_sub(inner.faults.staleness());
        let states = inner.store.states(kind, shown_at);
        let objects = states.filter_map(|(name, state)| {
            Some(Shown {
                name: name.to_owned(),
                version: state.version,
                value: state.value.clone()?,
            })
        });
        let objects: Vec<Shown> = objects.collect();
        // A watch that follows a stale list starts from the version of that list.
        let newest = objects.iter().map(|object| object.version).max();
        let version = if inner.faults.staleness().is_zero() {
            inner.store.version()
        } else {
            newest.unwrap_or_default()
        };
        Listed { objects, version }
    }

    /// Returns the objects of a kind changed since a version, as stale as the faults ask for.
    pub fn changed(&self, kind: &str, since: u64) -> Changes {
        let inner = self.lock();
        let shown_at = self.now().saturating_sub(inner.faults.staleness());
        let states = inner.store.states(kind, shown_at);
        let newer = states.filter(|(_, state)| state.version > since);
        let mut changed: Vec<Changed> = newer
            .map(|(name, state)| Changed {
                name: name.to_owned(),
                version: state.version,
                value: state.value.clone(),
            })
            .collect();
        changed.sort_by_key(|change| change.version);
        let newest = changed.last().map(|change| change.version);
        let version = if inner.faults.staleness().is_zero() {
            inner.store.version()
        } else {
            newest.unwrap_or(since)
        };
        Changes { changed, version }
    }

    /// Returns whether the changes since a version are not kept, or not made yet.
    pub fn has_forgotten(&self, since: u64) -> bool {
        let inner = self.lock();
        since < inner.faults.forgotten_before || since > inner.store.version()
    }

    /// Writes an object if the precondition holds.
    ///
    /// # Errors
    ///
    /// Returns why the write did not take effect.
    pub fn put(
        &self,
        caller: &str,
        kind: &str,
        name: &str,
        expected: store::Expected,
        value: Bytes,
    ) -> Result<Written, store::WriteError> {
        let mut inner = self.lock();
        let version = inner.store.put(kind, name, expected, value, self.now())?;
        Ok(self.record(&mut inner, caller, kind, name, version))
    }

    /// Deletes an object if the precondition holds.
    ///
    /// # Errors
    ///
    /// Returns why the deletion did not take effect.
    pub fn delete(
        &self,
        caller: &str,
        kind: &str,
        name: &str,
        expected: store::Expected,
    ) -> Result<Written, store::WriteError> {
        let mut inner = self.lock();
        let version = inner.store.delete(kind, name, expected, self.now())?;
        Ok(self.record(&mut inner, caller, kind, name, version))
    }

    /// Returns a receiver that is notified of every write and every change of the faults.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the list of VMs, with the configured lag.
    pub fn vms(&self) -> Vec<vm::Vm> {
        let inner = self.lock();
        let shown_at = self.now().saturating_sub(inner.faults.list_lag());
        inner.vms.at(shown_at).cloned().collect()
    }

    /// Adds or replaces a listed VM.
    ///
    /// # Errors
    ///
    /// Returns a reason if the list is full.
    pub fn insert_vm(&self, item: vm::Vm) -> Result<(), String> {
        self.lock().vms.insert(item, self.now())
    }

    /// Removes a listed VM, and returns whether it was listed.
    pub fn remove_vm(&self, id: &str) -> bool {
        self.lock().vms.remove(id, self.now())
    }

    /// Returns the active faults.
    pub fn faults(&self) -> faults::Faults {
        self.lock().faults.clone()
    }

    /// Changes the active faults.
    ///
    /// # Errors
    ///
    /// Returns a reason if a value exceeds its limit.
    pub fn change_faults(&self, change: faults_change::FaultsChange) -> Result<(), String> {
        self.lock().faults.apply(change)?;
        self.tell();
        Ok(())
    }

    /// Keeps a copy of the store to restore it from.
    pub fn copy(&self) {
        let mut inner = self.lock();
        inner.copy = inner.store.clone();
    }

    /// Restores the store from the copy: what was written since is lost, and versions are given out
    /// again.
    pub fn restore(&self) {
        let mut inner = self.lock();
        inner.store = inner.copy.clone();
        inner.era += 1;
        drop(inner);
        self.tell();
    }

    /// Returns the number of restorations.
    pub fn era(&self) -> u64 {
        self.lock().era
    }

    /// Returns the counts of calls.
    pub fn calls(&self) -> calls::Calls {
        self.lock().calls.clone()
    }

    /// Returns the kept writes that took effect.
    pub fn writes(&self) -> Vec<write_log::WriteRecord> {
        self.lock().writes.records().iter().cloned().collect()
    }

    fn record(
        &self,
        inner: &mut Inner,
        caller: &str,
        kind: &str,
        name: &str,
        version: u64,
    ) -> Written {
        inner.writes.push(write_log::WriteRecord {
            at_ms: crate::unix_time::now_ms(),
            caller: caller.to_owned(),
            kind: kind.to_owned(),
            name: name.to_owned(),
            version,
        });
        self.tell();
        Written {
            version,
            answer_lost: inner.faults.loses_answer(kind),
        }
    }

    fn tell(&self) {
        self.changes.send_modify(|n| *n += 1);
    }

    fn now(&self) -> time::Duration {
        self.started_at.elapsed()
    }

    /// Locks the state; a lock poisoned by a panic stays usable.
    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
