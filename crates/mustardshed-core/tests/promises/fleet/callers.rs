//! Callers that keep lists of entries, and entries that stop as planned.

use std::{collections, time};

use mustardshed_core::{
    ids,
    process::{drain, event},
    request::owner,
};

use super::{Fleet, Item, Run, engine};

/// Wait between looks at whether a planned stop is over.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time after a freeze in which an entry's lists are not held against it.
const SETTLED_AFTER: time::Duration = drain::PROPAGATION_TIME;

/// What callers and planned stops went through.
#[derive(Debug, Default)]
pub struct Callers {
    /// Requests that a planned stop cut off.
    pub cut_off: Vec<String>,
    /// Requests that found an entry stopped or stopping although their list of entries held.
    pub turned_away: Vec<String>,
    list: Option<List>,
    stopped: collections::BTreeSet<ids::VmId>,
    is_disturbed: bool,
}

/// A list of entries that a caller keeps.
#[derive(Clone, Debug)]
struct List {
    from: ids::VmId,
    vms: Vec<ids::VmId>,
    asked_at: ids::Timestamp,
}

impl Fleet {
    /// Lets an entry leave; it ends when its planned stop is over.
    pub fn leave(&mut self, vm: &str) {
        let Some(process) = self.processes.get(vm) else {
            return;
        };
        let run = (vm.to_owned(), process.incarnation);
        self.at(self.now, run, Item::Leave);
    }

    pub(super) fn begin_stop(&mut self, run: &Run) {
        let now = self.now;
        self.handle(run, event::Event::Leave);
        let Some(process) = self.process_mut(run) else {
            return;
        };
        if process.drain.is_none() {
            process.drain = Some(drain::Drain::begin(now));
            self.at(now + WATCH_INTERVAL, run.clone(), Item::WatchStop);
        }
    }

    /// Ends a process whose planned stop is over.
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
            self.at(now + WATCH_INTERVAL, run.clone(), Item::WatchStop);
            return;
        }
        let lost = process.jobs.keys().chain(process.gangs.keys());
        let lost = lost.map(|request| format!("{request} by its entry's end at {now:?}"));
        let lost: Vec<_> = lost.collect();
        self.callers.cut_off.extend(lost);
        self.end_run(run);
        self.callers.stopped.insert(run.0.clone());
    }

    /// Returns whether an entry takes no new requests any more.
    pub(super) fn is_closed(&self, vm: &str) -> bool {
        match self.processes.get(vm) {
            Some(process) => process.drain.is_some_and(|drain| !drain.accepts(self.now)),
            None => self.callers.stopped.contains(vm),
        }
    }

    pub(super) fn note_started(&mut self, vm: &str) {
        self.callers.stopped.remove(vm);
    }

    /// Lets the caller ask an entry for the entries to use, and keep the answer.
    pub fn ask_for_entries(&mut self, vm: &str) {
        let now = self.now;
        let process = self.processes.get(vm);
        let is_settled = |at: ids::Timestamp| now >= at + SETTLED_AFTER;
        let process = process.filter(|p| !p.is_frozen && p.thawed_at.is_none_or(is_settled));
        let Some(process) = process else {
            return;
        };
        let snapshot = process.node.snapshot(now);
        let entries = snapshot.entries_for_callers();
        self.callers.list = Some(List {
            from: vm.to_owned(),
            vms: entries.map(|entry| entry.vm.clone()).collect(),
            asked_at: now,
        });
    }

    /// Lets the caller send a request to each entry of its list, if it still holds.
    pub fn call_listed(&mut self, server: &str, work: &engine::Work, lasts: time::Duration) {
        let now = self.now;
        let list = self.callers.list.clone();
        let Some(list) = list.filter(|list| now < list.asked_at + drain::LIST_TTL) else {
            return;
        };
        for vm in &list.vms {
            if self.is_closed(vm) {
                self.callers.turned_away.push(format!(
                    "by {vm} at {now:?}, listed by {} at {:?}",
                    list.from, list.asked_at
                ));
            }
            self.submit(vm, server, work.clone(), lasts);
        }
    }

    /// Notes that from now on entries may be taken for dead although they run.
    pub(super) fn disturb(&mut self) {
        self.callers.is_disturbed = true;
    }

    /// Notes a cancellation that cuts off a request of an entry that leaves.
    ///
    /// Work of an entry that was silent for long may be cancelled, whether it leaves or not.
    pub(super) fn note_cancel(&mut self, request: &str) {
        let is_disturbed = self.callers.is_disturbed || self.network.was_disturbed();
        let process = owner::of(request).and_then(|owner| self.processes.get(&owner.vm));
        let is_leaving = process.is_some_and(|process| process.drain.is_some());
        if is_leaving && !is_disturbed && self.is_needed(request) {
            let cut_off = format!("{request} by a cancellation at {:?}", self.now);
            self.callers.cut_off.push(cut_off);
        }
    }
}
