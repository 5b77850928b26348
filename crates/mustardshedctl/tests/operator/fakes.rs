//! A platform and entries in memory, with fault injection and a shared log of calls.

use std::{collections, sync, time};

use async_trait::async_trait;
use mustardshed::{
    core::{
        boundary::{clock, platform},
        ids,
        version::record,
    },
    wire::{configuration, operator},
};
use mustardshedctl::{apply, entries};

/// Identifier of a request that no entry knows.
pub const UNKNOWN_REQUEST: &str = "entry-9.1.1";

/// Calls in the order in which they arrived.
pub type Log = sync::Arc<sync::Mutex<Vec<String>>>;

/// A fault injected into one update of the configuration.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The update takes effect, and its response is lost.
    LostAfter,
    /// The update does not take effect, and its response is lost.
    LostBefore,
    /// Another operator writes before the update.
    RacedBefore(record::Record),
    /// The update takes effect, its response is lost, and another operator replaces the record.
    /// With `stored`, the replaced record is in the history.
    LostThenReplaced { by: record::Record, stored: bool },
    /// The update does not take effect, its response is lost, and another operator writes.
    LostBeforeRaced(record::Record),
}

/// A clock that the fakes advance.
#[derive(Clone, Debug, Default)]
pub struct Clock(sync::Arc<sync::Mutex<time::Duration>>);

impl Clock {
    pub fn advance(&self, by: time::Duration) {
        *self.0.lock().unwrap_or_else(sync::PoisonError::into_inner) += by;
    }
}

impl clock::Clock for Clock {
    fn now(&self) -> ids::Timestamp {
        *self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct State {
    objects: collections::BTreeMap<(&'static str, String), platform::Object>,
    version: ids::ObjectVersion,
    faults: collections::VecDeque<Fault>,
    failing_reads: usize,
    slow_updates: Option<(Clock, time::Duration)>,
    vms: Vec<platform::Vm>,
}

impl State {
    fn write(&mut self, kind: platform::ObjectKind, name: &str, value: Vec<u8>) -> u64 {
        self.version += 1;
        let object = platform::Object {
            name: name.to_owned(),
            version: self.version,
            value,
        };
        self.objects
            .insert((kind.as_str(), name.to_owned()), object);
        self.version
    }

    fn store_current_in_history(&mut self) {
        let key = ("configuration", "current".to_owned());
        let value = self.objects.get(&key).map(|object| object.value.clone());
        let value = value.unwrap_or_default();
        let generation = configuration::decode(&value).map_or(0, |record| record.generation);
        let name = apply::history_object_name(generation);
        self.write(platform::ObjectKind::History, &name, value);
    }

    fn write_record(&mut self, record: &record::Record) {
        let value = configuration::encode(record).unwrap_or_default();
        self.write(platform::ObjectKind::Configuration, "current", value);
    }
}

/// A platform in memory.
#[derive(Debug, Default)]
pub struct Platform {
    state: sync::Mutex<State>,
    log: Log,
}

impl Platform {
    pub fn open(log: &Log) -> Self {
        Self {
            log: log.clone(),
            ..Self::default()
        }
    }

    pub fn with_record(self, record: &record::Record) -> Self {
        self.lock().write_record(record);
        self
    }

    pub fn with_entries(self, entries: &[(&str, platform::VmState)]) -> Self {
        self.lock().vms = entries
            .iter()
            .map(|(address, state)| vm(address, *state))
            .collect();
        self
    }

    pub fn with_fault(self, fault: Fault) -> Self {
        self.lock().faults.push_back(fault);
        self
    }

    /// Makes `count` reads fail after the first attempt at an update.
    pub fn with_failing_reads(self, count: usize) -> Self {
        self.lock().failing_reads = count;
        self
    }

    /// Makes each update take `time` on `clock`.
    pub fn with_slow_updates(self, clock: &Clock, time: time::Duration) -> Self {
        self.lock().slow_updates = Some((clock.clone(), time));
        self
    }

    pub fn record(&self, kind: platform::ObjectKind, name: &str) -> Option<record::Record> {
        let state = self.lock();
        let object = state.objects.get(&(kind.as_str(), name.to_owned()))?;
        configuration::decode(&object.value).ok()
    }

    pub fn current(&self) -> Option<record::Record> {
        self.record(platform::ObjectKind::Configuration, "current")
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn log(&self, call: String) {
        log_call(&self.log, call);
    }
}

#[async_trait]
impl platform::Platform for Platform {
    async fn get(
        &self,
        _: platform::Purpose,
        kind: platform::ObjectKind,
        name: &str,
    ) -> Result<Option<platform::Object>, platform::PlatformError> {
        self.log(format!("get {}/{name}", kind.as_str()));
        let mut state = self.lock();
        let updated = logged(&self.log)
            .iter()
            .any(|call| call.starts_with("put configuration"));
        if updated && state.failing_reads > 0 {
            state.failing_reads -= 1;
            return Err(platform::PlatformError::Refused("outage".to_owned()));
        }
        Ok(state
            .objects
            .get(&(kind.as_str(), name.to_owned()))
            .cloned())
    }

    async fn put(
        &self,
        _: platform::Purpose,
        kind: platform::ObjectKind,
        name: &str,
        expected: ids::ObjectVersion,
        value: Vec<u8>,
    ) -> Result<ids::ObjectVersion, platform::PlatformError> {
        self.log(format!("put {}/{name} at {expected}", kind.as_str()));
        let mut state = self.lock();
        if let Some((clock, time)) = &state.slow_updates {
            clock.advance(*time);
        }
        let fault = match kind {
            platform::ObjectKind::Configuration => state.faults.pop_front(),
            _ => None,
        };
        if let Some(Fault::RacedBefore(record)) = &fault {
            state.write_record(record);
        }
        let object = state.objects.get(&(kind.as_str(), name.to_owned()));
        let version = object.map_or(0, |object| object.version);
        if version != expected {
            return Err(platform::PlatformError::Conflict(version));
        }
        let lost = Err(platform::PlatformError::Unanswered("closed".to_owned()));
        if matches!(fault, Some(Fault::LostBefore)) {
            return lost;
        }
        if let Some(Fault::LostBeforeRaced(record)) = &fault {
            state.write_record(record);
            return lost;
        }
        let version = state.write(kind, name, value);
        match fault {
            Some(Fault::LostAfter) => lost,
            Some(Fault::LostThenReplaced { by, stored }) => {
                if stored {
                    state.store_current_in_history();
                }
                state.write_record(&by);
                lost
            }
            _ => Ok(version),
        }
    }

    async fn delete(
        &self,
        _: platform::Purpose,
        _: platform::ObjectKind,
        _: &str,
        _: ids::ObjectVersion,
    ) -> Result<(), platform::PlatformError> {
        Err(platform::PlatformError::Refused("not used".to_owned()))
    }

    async fn list(
        &self,
        _: platform::Purpose,
        kind: platform::ObjectKind,
        prefix: &str,
    ) -> Result<Vec<platform::Object>, platform::PlatformError> {
        let state = self.lock();
        let objects = state.objects.iter();
        let found = objects
            .filter(|((of_kind, name), _)| *of_kind == kind.as_str() && name.starts_with(prefix));
        Ok(found.map(|(_, object)| object.clone()).collect())
    }

    async fn watch(
        &self,
        _: platform::Purpose,
        _: platform::ObjectKind,
        _: &str,
        _: ids::ObjectVersion,
        _: time::Duration,
    ) -> Result<Option<platform::Object>, platform::PlatformError> {
        Err(platform::PlatformError::Refused("not used".to_owned()))
    }

    async fn vms(&self) -> Result<Vec<platform::Vm>, platform::PlatformError> {
        Ok(self.lock().vms.clone())
    }
}

/// Entries in memory.
#[derive(Debug, Default)]
pub struct Entries {
    silent: Vec<&'static str>,
    suspensions: sync::Mutex<collections::VecDeque<time::Duration>>,
    clock: Clock,
    generations: sync::Mutex<collections::BTreeMap<String, ids::Generation>>,
    log: Log,
}

impl Entries {
    pub fn open(log: &Log) -> Self {
        Self {
            log: log.clone(),
            ..Self::default()
        }
    }

    pub fn with_silent(mut self, addresses: &[&'static str]) -> Self {
        self.silent.extend(addresses);
        self
    }

    /// Suspends the client on `clock` for these times, one for each intent.
    pub fn with_suspensions(mut self, clock: &Clock, suspensions: &[time::Duration]) -> Self {
        self.clock = clock.clone();
        self.suspensions = sync::Mutex::new(suspensions.iter().copied().collect());
        self
    }

    fn suspend(&self) {
        let mut suspensions = self
            .suspensions
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        self.clock
            .advance(suspensions.pop_front().unwrap_or_default());
    }

    fn check_responding(&self, address: &str) -> Result<(), entries::EntryError> {
        if self.silent.contains(&address) {
            return Err(entries::EntryError::Unanswered("timed out".to_owned()));
        }
        Ok(())
    }

    fn generations(&self) -> sync::MutexGuard<'_, collections::BTreeMap<String, ids::Generation>> {
        self.generations
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

#[async_trait]
impl entries::Entries for Entries {
    async fn intent(
        &self,
        address: &str,
        record: &record::Record,
    ) -> Result<(), entries::EntryError> {
        log_call(
            &self.log,
            format!("intent {} to {address}", record.generation),
        );
        self.suspend();
        self.check_responding(address)
    }

    async fn commit(
        &self,
        address: &str,
        record: &record::Record,
    ) -> Result<(), entries::EntryError> {
        log_call(
            &self.log,
            format!("commit {} to {address}", record.generation),
        );
        self.check_responding(address)?;
        self.generations()
            .insert(address.to_owned(), record.generation);
        Ok(())
    }

    async fn status(&self, address: &str) -> Result<operator::Status, entries::EntryError> {
        self.check_responding(address)?;
        let generation = self.generations().get(address).copied().unwrap_or(0);
        Ok(status(address, generation))
    }

    async fn request(
        &self,
        address: &str,
        id: &str,
    ) -> Result<serde_json::Value, entries::EntryError> {
        self.check_responding(address)?;
        if id == UNKNOWN_REQUEST {
            return Err(entries::EntryError::Refused {
                status: 404,
                code: "request_not_found".to_owned(),
                message: "no such request".to_owned(),
            });
        }
        Ok(serde_json::json!({ "id": id, "outcome": "completed", "error": null }))
    }

    async fn explain(
        &self,
        address: &str,
        query: &entries::ExplainQuery,
    ) -> Result<serde_json::Value, entries::EntryError> {
        self.check_responding(address)?;
        Ok(serde_json::json!({
            "decision": { "servers": ["runner-1"], "tokens_each": query.tokens },
            "reason": "least estimate",
            "candidates": [
                { "server": "runner-1", "estimate_ms": 7, "reason": "queue 0 ms" },
                { "server": "runner-2", "estimate_ms": null, "reason": "cold" },
            ],
        }))
    }
}

/// Returns the calls logged so far.
pub fn logged(log: &Log) -> Vec<String> {
    log.lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .clone()
}

fn log_call(log: &Log, call: String) {
    log.lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .push(call);
}

fn vm(address: &str, state: platform::VmState) -> platform::Vm {
    platform::Vm {
        id: address.to_owned(),
        role: platform::VmRole::Entry,
        address: address.to_owned(),
        peer_address: String::new(),
        data_centre: "oak".to_owned(),
        state,
    }
}

fn status(address: &str, generation: ids::Generation) -> operator::Status {
    operator::Status {
        vm: address.to_owned(),
        incarnation: 1,
        data_centre: "oak".to_owned(),
        generation,
        may_place_ms: 2000,
        leaving: false,
        data_centres_out: collections::BTreeSet::new(),
        members: Vec::new(),
        servers: Vec::new(),
        platform_calls: collections::BTreeMap::new(),
        bytes: collections::BTreeMap::new(),
    }
}
