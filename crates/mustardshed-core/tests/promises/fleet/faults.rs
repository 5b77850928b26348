//! Faults of processes and servers, and their end.

use std::time;

use mustardshed_core::boundary::platform as border;

use super::{ENTRIES, Fleet, Run, SERVERS, entry, server};

impl Fleet {
    /// Kills a process.
    pub fn kill(&mut self, vm: &str) {
        self.processes.remove(vm);
    }

    /// Freezes a process, without its knowledge.
    pub fn freeze(&mut self, vm: &str) {
        self.note_freeze();
        if let Some(process) = self.processes.get_mut(vm) {
            process.is_frozen = true;
        }
    }

    /// Lets a frozen process resume with its backlog, in the order of arrival.
    pub fn thaw(&mut self, vm: &str) {
        if let Some(process) = self.processes.get(vm) {
            let run = (vm.to_owned(), process.incarnation);
            self.thaw_run(&run);
        }
    }

    pub(super) fn thaw_run(&mut self, run: &Run) {
        self.advance(time::Duration::ZERO);
        let now = self.now;
        let Some(process) = self.process_mut(run) else {
            return;
        };
        process.thawed_at = process.is_frozen.then_some(now).or(process.thawed_at);
        process.is_frozen = false;
        for task in std::mem::take(&mut process.backlog) {
            self.schedule(now, run.clone(), task);
        }
    }

    /// Sets whether a backend server is leaving, in its reports and in the VM list.
    pub fn leave_server(&mut self, server: &str, is_leaving: bool) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.leaving_since = is_leaving.then(|| engine.leaving_since.unwrap_or(self.now));
        }
        let mut vms = self.platform.listed();
        for vm in vms.iter_mut().filter(|vm| vm.id == server) {
            vm.state = if is_leaving {
                border::VmState::Leaving
            } else {
                border::VmState::Live
            };
        }
        self.platform.set_list(vms, self.now);
    }

    /// Ends all faults, and starts all processes that do not run.
    pub fn heal(&mut self) {
        self.end_replaced();
        self.network.restore_all();
        self.platform.is_out = false;
        self.platform.staleness = time::Duration::ZERO;
        for engine in self.engines.values_mut() {
            engine.is_dead = false;
        }
        for index in 0..SERVERS {
            self.leave_server(&server(index), false);
        }
        for index in 0..ENTRIES {
            self.thaw(&entry(index));
            self.start(&entry(index));
        }
    }
}
