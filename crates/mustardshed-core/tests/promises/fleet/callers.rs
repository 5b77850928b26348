//! Callers that cache lists of entries, and planned stops of entries.

use std::{collections, time};

use mustardshed_core::{
    ids,
    process::{drain, event},
    request::owner,
};

use super::{Fleet, Run, Task, engine};

/// Interval between checks whether a stopping process may exit.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after a freeze during which an entry's lists may be wrong and are not used.
const RECOVERY_TIME: time::Duration = drain::PROPAGATION_TIME;

/// State of the caller and of planned stops, and requests that were aborted or rejected.
#[derive(Debug, Default)]
pub struct Callers {
    /// Requests that a planned stop aborted.
    pub cut_off: Vec<String>,
    /// Requests that an entry rejected because of its planned stop although their list was valid.
    pub rejected: Vec<String>,
    list: Option<List>,
    stopped: collections::BTreeSet<ids::VmId>,
    had_freeze: bool,
}

/// A list of entries that a caller caches.
#[derive(Clone, Debug)]
struct List {
    from: ids::VmId,
    vms: Vec<ids::VmId>,
    received_at: ids::Timestamp,
}

impl Fleet {
    /// Begins the planned stop of an entry; its process ends once it may exit.
    pub fn leave(&mut self, vm: &str) {
        let Some(process) = self.processes.get(vm) else {
            return;
        };
        let run = (vm.to_owned(), process.incarnation);
        self.schedule(self.now, run, Task::Leave);
    }

    pub(super) fn begin_stop(&mut self, run: &Run) {
        let now = self.now;
        self.handle(run, event::Event::Leave);
        let Some(process) = self.process_mut(run) else {
            return;
        };
        if process.drain.is_none() {
            process.drain = Some(drain::Drain::begin(now));
            self.schedule(now + WATCH_INTERVAL, run.clone(), Task::WatchStop);
        }
    }

    /// Ends a stopping process if it may exit, otherwise checks again later.
    pub(super) fn watch_stop(&mut self, run: &Run) {
        let now = self.now;
        let Some(process) = self.process(run) else {
            return;
        };
        let in_flight = process.jobs.len() + process.gangs.len();
        if !process
            .drain
            .is_some_and(|drain| drain.may_exit(now, in_flight))
        {
            self.schedule(now + WATCH_INTERVAL, run.clone(), Task::WatchStop);
            return;
        }
        let lost = process.jobs.keys().chain(process.gangs.keys());
        let lost = lost.map(|request| format!("{request} by its entry's end at {now:?}"));
        let lost: Vec<_> = lost.collect();
        self.callers.cut_off.extend(lost);
        self.end_run(run);
        self.callers.stopped.insert(run.0.clone());
    }

    /// Returns whether an entry accepts no new requests because of a planned stop.
    pub(super) fn is_closed(&self, vm: &str) -> bool {
        match self.processes.get(vm) {
            Some(process) => process.drain.is_some_and(|drain| !drain.accepts(self.now)),
            None => self.callers.stopped.contains(vm),
        }
    }

    pub(super) fn note_started(&mut self, vm: &str) {
        self.callers.stopped.remove(vm);
    }

    /// Lets the caller ask an entry for the list of entries, and cache it.
    pub fn ask_for_entries(&mut self, vm: &str) {
        let now = self.now;
        let process = self.processes.get(vm);
        let has_recovered = |at: ids::Timestamp| now >= at + RECOVERY_TIME;
        let process = process.filter(|p| !p.is_frozen && p.thawed_at.is_none_or(has_recovered));
        let Some(process) = process else {
            return;
        };
        let snapshot = process.node.snapshot(now);
        let entries = snapshot.entries_for_callers();
        self.callers.list = Some(List {
            from: vm.to_owned(),
            vms: entries.map(|entry| entry.vm.clone()).collect(),
            received_at: now,
        });
    }

    /// Lets the caller send a request to each entry of its list, if that has not expired.
    pub fn call_listed(&mut self, server: &str, work: &engine::Work, duration: time::Duration) {
        let now = self.now;
        let list = self.callers.list.clone();
        let Some(list) = list.filter(|list| now < list.received_at + drain::LIST_TTL) else {
            return;
        };
        for vm in &list.vms {
            if self.is_closed(vm) {
                self.callers.rejected.push(format!(
                    "by {vm} at {now:?}, listed by {} at {:?}",
                    list.from, list.received_at
                ));
            }
            self.submit(vm, server, work.clone(), duration);
        }
    }

    /// Records a freeze, after which running entries may be considered dead.
    pub(super) fn note_freeze(&mut self) {
        self.callers.had_freeze = true;
    }

    /// Records a cancellation that aborts a request of a leaving entry.
    ///
    /// After a freeze or a disrupted link this is no violation: work of an entry that was silent
    /// for long may be cancelled, whether it is leaving or not.
    pub(super) fn note_cancel(&mut self, request: &str) {
        let is_disrupted = self.callers.had_freeze || self.network.was_disrupted();
        let process = owner::of(request).and_then(|owner| self.processes.get(&owner.vm));
        let is_leaving = process.is_some_and(|process| process.drain.is_some());
        if is_leaving && !is_disrupted && self.is_needed(request) {
            let cut_off = format!("{request} by a cancellation at {:?}", self.now);
            self.callers.cut_off.push(cut_off);
        }
    }
}
