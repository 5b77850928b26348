//! Injects the planned faults.

use std::{collections, sync, time};

use serde_json::json;
use tokio::task;

use super::{change, fault, operators, schedule, stop, timeline};
use crate::{
    fleet::{self, FleetError},
    unix_time,
};

/// Maximum number of entries that are killed, suspended or stopping at the same time.
const MAX_ENTRIES_DOWN: usize = 2;
/// Interval between checks whether an entry has exited.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Timeout for the exit of an entry that was asked to stop.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Injects faults into the fleet.
#[derive(Debug)]
pub struct Faults {
    fleet: sync::Arc<tokio::sync::Mutex<fleet::Fleet>>,
    /// Which faults were active at what time.
    pub timeline: timeline::Timeline,
    stops: sync::Mutex<Vec<stop::Stop>>,
    failures: sync::Mutex<Vec<String>>,
    operators: operators::Operators,
    busy: sync::Mutex<collections::BTreeSet<String>>,
}

impl Faults {
    /// Creates the fault injector of a fleet.
    pub async fn new(fleet: sync::Arc<tokio::sync::Mutex<fleet::Fleet>>) -> Self {
        let operators = operators::Operators::new(&*fleet.lock().await);
        Self {
            fleet,
            timeline: timeline::Timeline::default(),
            stops: sync::Mutex::default(),
            failures: sync::Mutex::default(),
            operators,
            busy: sync::Mutex::default(),
        }
    }

    /// Injects the planned faults, each at its time, and returns when all have ended.
    pub async fn strike(self: sync::Arc<Self>, planned: Vec<schedule::Planned>) {
        let started = tokio::time::Instant::now();
        let mut running = task::JoinSet::new();
        for planned in planned {
            tokio::time::sleep_until(started + planned.at).await;
            let faults = sync::Arc::clone(&self);
            running.spawn(async move {
                if let Err(e) = faults.carry_out(planned).await {
                    lock(&faults.failures).push(format!("{:?}: {e}", planned.kind));
                }
            });
        }
        while running.join_next().await.is_some() {}
    }

    /// Returns the planned stops of entries.
    pub fn stops(&self) -> Vec<stop::Stop> {
        lock(&self.stops).clone()
    }

    /// Returns the faults that could not be injected, and why.
    pub fn failures(&self) -> Vec<String> {
        lock(&self.failures).clone()
    }

    /// Returns the results of the operators' commands.
    pub fn operators_ended(&self) -> Vec<String> {
        self.operators.ended()
    }

    async fn carry_out(&self, planned: schedule::Planned) -> Result<(), FleetError> {
        if let Some(change) = change::Change::of_platform(planned.kind) {
            return self.inject_platform(planned, change).await;
        }
        if let Some(change) = change::Change::of_engine(planned.kind) {
            return self.inject_engine(planned, change).await;
        }
        if let Some(change) = change::Change::of_service(planned.kind) {
            return self.inject_service(planned, change).await;
        }
        match planned.kind {
            fault::Kind::CallerCut => self.cut_caller(planned).await,
            fault::Kind::ServerLeaving => self.list_as_leaving(planned).await,
            fault::Kind::OperatorsRace | fault::Kind::DataCentreOut => {
                self.operate(planned).await;
                Ok(())
            }
            _ => self.inject_entry(planned).await,
        }
    }

    async fn operate(&self, planned: schedule::Planned) {
        let data_centre = self.data_centre(planned.target).await;
        let _span = self.span(planned.kind, &data_centre);
        if planned.kind == fault::Kind::OperatorsRace {
            self.operators.race(&data_centre).await;
        } else {
            let lasts = planned.lasts;
            self.operators.out_and_back(&data_centre, lasts).await;
        }
    }

    async fn inject_entry(&self, planned: schedule::Planned) -> Result<(), FleetError> {
        let Some((i, name)) = self.free_entry(planned.target).await else {
            return Ok(());
        };
        let _busy = Busy::new(&self.busy, &name);
        match planned.kind {
            fault::Kind::EntryFrozen => self.freeze(i, &name, planned.lasts).await,
            fault::Kind::EntryStopped => self.stop(i, &name).await,
            _ => self.kill(i, &name, planned.lasts).await,
        }
    }

    async fn kill(&self, i: usize, name: &str, lasts: time::Duration) -> Result<(), FleetError> {
        let span = self.span(fault::Kind::EntryKilled, name);
        self.fleet.lock().await.entries[i].process.kill();
        tokio::time::sleep(lasts).await;
        self.restart(i).await?;
        drop(span);
        Ok(())
    }

    async fn freeze(&self, i: usize, name: &str, lasts: time::Duration) -> Result<(), FleetError> {
        let span = self.span(fault::Kind::EntryFrozen, name);
        self.fleet.lock().await.entries[i].process.suspend();
        tokio::time::sleep(lasts).await;
        self.fleet.lock().await.entries[i].process.resume();
        drop(span);
        Ok(())
    }

    async fn stop(&self, i: usize, name: &str) -> Result<(), FleetError> {
        let _span = self.span(fault::Kind::EntryStopped, name);
        let told_ms = unix_time::now_ms();
        self.fleet.lock().await.entries[i].process.terminate();
        let started = time::Instant::now();
        while self.fleet.lock().await.entries[i].process.is_running()
            && started.elapsed() < STOP_TIMEOUT
        {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let exit_code = self.fleet.lock().await.entries[i].process.exit_code();
        lock(&self.stops).push(stop::Stop {
            vm: name.to_owned(),
            told_ms,
            ended_ms: unix_time::now_ms(),
            exit_code,
        });
        self.restart(i).await
    }

    async fn restart(&self, i: usize) -> Result<(), FleetError> {
        let mut fleet = self.fleet.lock().await;
        let files = fleet.files.clone();
        fleet.entries[i].restart(&files)
    }

    /// Returns an entry without an active fault, or `None` if too many are down already.
    async fn free_entry(&self, target: usize) -> Option<(usize, String)> {
        let fleet = self.fleet.lock().await;
        let busy = lock(&self.busy);
        let is_busy = |vm: &String| busy.contains(vm);
        let down = fleet.entries.iter().filter(|entry| is_busy(&entry.vm_id));
        if down.count() >= MAX_ENTRIES_DOWN {
            return None;
        }
        let count = fleet.entries.len();
        (0..count)
            .map(|k| (target + k) % count)
            .map(|i| (i, fleet.entries[i].vm_id.clone()))
            .find(|(_, vm)| !is_busy(vm))
    }

    async fn inject_platform(
        &self,
        planned: schedule::Planned,
        change: change::Change,
    ) -> Result<(), FleetError> {
        let Some(_busy) = Busy::claim(&self.busy, &format!("{:?}", planned.kind)) else {
            return Ok(());
        };
        let _span = self.span(planned.kind, "platform");
        self.set_platform(&change.on).await?;
        tokio::time::sleep(planned.lasts).await;
        self.set_platform(&change.off).await
    }

    async fn cut_caller(&self, planned: schedule::Planned) -> Result<(), FleetError> {
        let Some(_busy) = Busy::claim(&self.busy, "cut") else {
            return Ok(());
        };
        let vm = {
            let fleet = self.fleet.lock().await;
            let i = planned.target % fleet.entries.len();
            fleet.entries[i].vm_id.clone()
        };
        let _span = self.span(planned.kind, &vm);
        self.set_platform(&json!({ "cut": [vm] })).await?;
        tokio::time::sleep(planned.lasts).await;
        self.set_platform(&json!({ "cut": [] })).await
    }

    async fn set_platform(&self, faults: &serde_json::Value) -> Result<(), FleetError> {
        let fleet = self.fleet.lock().await;
        fleet.set_faults(&fleet.platform, faults).await
    }

    async fn inject_engine(
        &self,
        planned: schedule::Planned,
        change: change::Change,
    ) -> Result<(), FleetError> {
        let fleet = self.fleet.lock().await;
        let engine = &fleet.engines[planned.target % fleet.engines.len()];
        let name = engine.name.clone();
        let Some(_busy) = Busy::claim(&self.busy, &format!("{:?} {name}", planned.kind)) else {
            return Ok(());
        };
        let _span = self.span(planned.kind, &name);
        fleet.set_faults(engine, &change.on).await?;
        drop(fleet);
        tokio::time::sleep(planned.lasts).await;
        let fleet = self.fleet.lock().await;
        let engine = &fleet.engines[planned.target % fleet.engines.len()];
        fleet.set_faults(engine, &change.off).await
    }

    async fn inject_service(
        &self,
        planned: schedule::Planned,
        change: change::Change,
    ) -> Result<(), FleetError> {
        let fleet = self.fleet.lock().await;
        let service = &fleet.services[planned.target % fleet.services.len()];
        let _span = self.span(planned.kind, &service.name);
        fleet.set_faults(service, &change.on).await?;
        drop(fleet);
        tokio::time::sleep(planned.lasts).await;
        let fleet = self.fleet.lock().await;
        let service = &fleet.services[planned.target % fleet.services.len()];
        fleet.set_faults(service, &change.off).await
    }

    async fn list_as_leaving(&self, planned: schedule::Planned) -> Result<(), FleetError> {
        let servers = self.fleet.lock().await.listed_servers();
        let (name, mut vm) = servers[planned.target % servers.len()].clone();
        let Some(_busy) = Busy::claim(&self.busy, &format!("leaving {name}")) else {
            return Ok(());
        };
        vm["state"] = json!("leaving");
        self.fleet.lock().await.register(&vm).await?;
        let span = self.span(planned.kind, &name);
        tokio::time::sleep(planned.lasts).await;
        vm["state"] = json!("live");
        drop(span);
        self.fleet.lock().await.register(&vm).await
    }

    async fn data_centre(&self, target: usize) -> String {
        let fleet = self.fleet.lock().await;
        let names = &fleet.spec.data_centres;
        names[target % names.len()].clone()
    }

    fn span(&self, kind: fault::Kind, target: &str) -> Running<'_> {
        Running {
            timeline: &self.timeline,
            number: self.timeline.begin(kind, target),
        }
    }
}

/// Guard that records the end of a fault when it is dropped.
struct Running<'a> {
    timeline: &'a timeline::Timeline,
    number: usize,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.timeline.end(self.number);
    }
}

/// Guard for a name that only one fault at a time may use.
struct Busy<'a> {
    names: &'a sync::Mutex<collections::BTreeSet<String>>,
    name: String,
}

impl<'a> Busy<'a> {
    fn new(names: &'a sync::Mutex<collections::BTreeSet<String>>, name: &str) -> Self {
        lock(names).insert(name.to_owned());
        Self {
            names,
            name: name.to_owned(),
        }
    }

    fn claim(names: &'a sync::Mutex<collections::BTreeSet<String>>, name: &str) -> Option<Self> {
        let is_new = lock(names).insert(name.to_owned());
        is_new.then(|| Self {
            names,
            name: name.to_owned(),
        })
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        lock(self.names).remove(&self.name);
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
