//! State shared by a plain service's connections.

use std::{sync, time};

use tokio::sync::watch;

use crate::{
    delay::{self, timer},
    service::{
        call, counts, execution, faults, faults_change, load_history, load_report, machine,
        refusal, settings,
    },
    unix_time,
};

/// State of a running plain service.
#[derive(Debug)]
pub(super) struct State {
    started_at: tokio::time::Instant,
    delays: delay::Delays,
    timer: timer::Timer,
    inner: sync::Mutex<Inner>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    machine: machine::Machine,
    history: load_history::LoadHistory,
}

impl State {
    /// Creates the state of a service that starts now.
    pub(super) fn new(settings: settings::Settings) -> Self {
        Self {
            started_at: tokio::time::Instant::now(),
            delays: settings.delays.clone(),
            timer: timer::Timer::spawn(),
            inner: sync::Mutex::new(Inner {
                machine: machine::Machine::new(settings, unix_time::now_ms()),
                history: load_history::LoadHistory::default(),
            }),
            changes: watch::Sender::new(0),
        }
    }

    /// Executes a call, and returns its number; `None` if it aborted or its response is dropped.
    ///
    /// # Errors
    ///
    /// Returns why the call is not executed.
    pub(super) async fn execute(&self, call: &call::Call) -> Result<Option<u64>, refusal::Refusal> {
        let mut changes = self.changes.subscribe();
        let started = self.change(|machine, now| machine.begin(call, now))?;
        let finish_at = tokio::time::Instant::now() + started.work;
        while self.read(|machine| machine.runs(started.execution)) {
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(finish_at) => break,
            }
        }
        let answered = self.change(|machine, _| machine.finish(started.execution));
        Ok(answered.then_some(started.execution))
    }

    /// Waits for the one-way network delay of a call.
    pub(super) async fn wait_one_way(&self, call: &call::Call) {
        let delay = self.delays.of_request(&call.request_id);
        self.timer.wait(delay).await;
    }

    /// Returns the name of the service.
    pub(super) fn name(&self) -> String {
        self.read(|machine| machine.settings().name.clone())
    }

    /// Returns the number of the warm period.
    pub(super) fn epoch(&self) -> u64 {
        self.read(machine::Machine::epoch)
    }

    /// Returns whether connections are closed without a response.
    pub(super) fn is_dead(&self) -> bool {
        self.read(|machine| machine.faults().dead)
    }

    /// Returns the active faults.
    pub(super) fn faults(&self) -> faults::Faults {
        self.read(|machine| machine.faults().clone())
    }

    /// Changes the active faults.
    ///
    /// # Errors
    ///
    /// Returns a reason if a value is above its limit.
    pub(super) fn change_faults(&self, change: &faults_change::FaultsChange) -> Result<(), String> {
        self.change(|machine, _| machine.change_faults(change))
    }

    /// Returns the kept executions.
    pub(super) fn executions(&self) -> Vec<execution::Execution> {
        self.read(|machine| machine.log().records().iter().cloned().collect())
    }

    /// Returns the counts so far.
    pub(super) fn counts(&self) -> counts::Counts {
        self.read(machine::Machine::counts)
    }

    /// Returns the lagging load report; `None` while the service is down after an overload.
    pub(super) fn load(&self) -> Option<load_report::LoadReport> {
        let inner = self.lock();
        let now = self.now();
        if inner.machine.is_fallen(now) {
            return None;
        }
        let lag = inner.machine.faults().load_lag();
        let superseded = inner.history.at(now.saturating_sub(lag));
        let mut report = superseded.cloned().unwrap_or_else(|| inner.machine.load());
        report.age_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        Some(report)
    }

    fn change<T>(&self, f: impl FnOnce(&mut machine::Machine, time::Duration) -> T) -> T {
        let mut inner = self.lock();
        let now = self.now();
        if inner.history.wants(now) {
            let report = inner.machine.load();
            inner.history.push(now, report);
        }
        let result = f(&mut inner.machine, now);
        drop(inner);
        self.changes.send_modify(|n| *n += 1);
        result
    }

    fn read<T>(&self, f: impl FnOnce(&machine::Machine) -> T) -> T {
        f(&self.lock().machine)
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
