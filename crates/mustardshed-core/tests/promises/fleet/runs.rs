//! Incarnations of processes: their start, and those replaced by a later one while frozen.

use std::collections;

use mustardshed_core::process::node;

use super::{Fleet, Process, Run, Task};

impl Fleet {
    /// Starts a process with a new incarnation, unless one runs on this VM.
    pub fn start(&mut self, vm: &str) {
        if self.processes.contains_key(vm) {
            return;
        }
        self.counter += 1;
        let incarnation = self.counter;
        let listed = self.platform.listed();
        let Some(listed) = listed.iter().find(|listed| listed.id == vm) else {
            return;
        };
        let identity = node::Identity {
            vm: vm.into(),
            incarnation,
            data_centre: listed.data_centre.clone(),
            address: format!("{vm}:1"),
            peer_address: format!("{vm}:2"),
        };
        let process = Process {
            node: node::Node::new(identity, self.counter * 131, self.now),
            incarnation,
            is_frozen: false,
            started_at: self.now,
            thawed_at: None,
            drain: None,
            links: collections::BTreeSet::new(),
            backlog: Vec::new(),
            jobs: collections::BTreeMap::new(),
            gangs: collections::BTreeMap::new(),
            tickets: collections::BTreeMap::new(),
            sequence: 0,
        };
        self.processes.insert(vm.into(), process);
        self.note_started(vm);
        let run = (vm.to_owned(), incarnation);
        for task in [Task::Tick, Task::PollConfiguration, Task::PollVms] {
            self.schedule(self.now, run.clone(), task);
        }
    }

    /// Returns the current incarnations, without those replaced.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self.processes.iter();
        runs.map(|(vm, process)| (vm.clone(), process.incarnation))
            .collect()
    }

    /// Returns a running process, which may be replaced.
    pub(super) fn process(&self, run: &Run) -> Option<&Process> {
        let present = self.processes.get(&run.0);
        let present = present.filter(|process| process.incarnation == run.1);
        present.or_else(|| self.replaced.get(run))
    }

    /// Returns a running process, which may be replaced.
    pub(super) fn process_mut(&mut self, run: &Run) -> Option<&mut Process> {
        let present = self.processes.get_mut(&run.0);
        let present = present.filter(|process| process.incarnation == run.1);
        present.or_else(|| self.replaced.get_mut(run))
    }

    /// Freezes a process and starts a later incarnation on its VM, which takes over its addresses.
    pub fn replace(&mut self, vm: &str) {
        self.freeze(vm);
        if let Some(process) = self.processes.remove(vm) {
            let run = (vm.to_owned(), process.incarnation);
            self.replaced.insert(run, process);
        }
        self.start(vm);
    }

    /// Lets the replaced processes of a VM resume with their backlogs.
    pub fn thaw_replaced(&mut self, vm: &str) {
        let runs: Vec<Run> = self.replaced.keys().cloned().collect();
        for run in runs.into_iter().filter(|run| run.0 == vm) {
            self.thaw_run(&run);
        }
    }

    /// Ends a process, which may be replaced.
    pub(super) fn end_run(&mut self, run: &Run) {
        if self.replaced.remove(run).is_none() {
            self.kill(&run.0);
        }
    }

    /// Ends all replaced processes.
    pub(super) fn end_replaced(&mut self) {
        self.replaced.clear();
    }
}
