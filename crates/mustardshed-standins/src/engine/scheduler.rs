//! Scheduler of an engine: batch steps, KV memory and cold state; the caller passes the time.
//!
//! ```
//! use std::time;
//!
//! use mustardshed_standins::engine::{job, prompt, scheduler, settings};
//!
//! let mut engine = scheduler::Scheduler::new(settings::Settings::default());
//! let req = job::Admission {
//!     id: String::from("vm1.1.1"),
//!     model: String::from("draft"),
//!     prompt: prompt::Prompt::of_bytes(b"a short draft"),
//!     max_tokens: 2,
//!     offset: 0,
//!     priority: 0,
//!     gang_size: 1,
//! };
//! let handle = engine.admit(time::Duration::ZERO, req).unwrap();
//! engine.advance(time::Duration::from_secs(1));
//! assert_eq!(handle.progress.borrow().produced, 2);
//! ```

use std::{collections, sync, time};

use crate::engine::{faults, job, memory, prefix_cache, progress, records, settings};

mod admission;
mod orders;
mod report;
mod step;
mod warmth;

pub use orders::OrderRequest;
pub use report::{HeldEntry, LoadSnapshot};

/// How long an engine refuses everything after it crashed under load.
pub const DOWN: time::Duration = time::Duration::from_secs(5);
/// How long the output of an ended request is kept.
pub const KEPT: time::Duration = time::Duration::from_secs(30);

/// Whether an engine is cold or warm.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// It runs at a quarter of its speed and crashes beyond its cold limit.
    Cold,
    /// It runs at full speed.
    Warm,
}

/// Scheduler of one engine.
#[derive(Debug)]
pub struct Scheduler {
    settings: settings::Settings,
    faults: faults::Faults,
    memory: memory::Memory,
    cache: prefix_cache::PrefixCache,
    records: records::Records,
    models: collections::BTreeMap<String, String>,
    adapters: collections::BTreeSet<String>,
    role: Option<String>,
    epoch: u64,
    warmth: Warmth,
    finished_cold: u64,
    down_until: Option<time::Duration>,
    greatest_fence: u64,
    next_number: u64,
    jobs: collections::HashMap<u64, job::Job>,
    numbers: collections::HashMap<String, u64>,
    running: collections::BTreeSet<u64>,
    prefill: collections::BTreeSet<(u32, u64)>,
    decode: collections::BTreeSet<u64>,
    ended: collections::VecDeque<(time::Duration, u64)>,
    step: Option<step::Step>,
}

impl Scheduler {
    /// Returns an idle engine.
    pub fn new(settings: settings::Settings) -> Self {
        let warmth = if settings.start_cold {
            Warmth::Cold
        } else {
            Warmth::Warm
        };
        Self {
            memory: memory::Memory::new(settings.memory_tokens),
            models: settings.models.clone(),
            adapters: collections::BTreeSet::new(),
            role: None,
            settings,
            faults: faults::Faults::default(),
            cache: prefix_cache::PrefixCache::default(),
            records: records::Records::default(),
            epoch: 1,
            warmth,
            finished_cold: 0,
            down_until: None,
            greatest_fence: 0,
            next_number: 0,
            jobs: collections::HashMap::new(),
            numbers: collections::HashMap::new(),
            running: collections::BTreeSet::new(),
            prefill: collections::BTreeSet::new(),
            decode: collections::BTreeSet::new(),
            ended: collections::VecDeque::new(),
            step: None,
        }
    }

    /// Returns the number of the warm period.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether the engine is cold or warm.
    pub const fn warmth(&self) -> Warmth {
        self.warmth
    }

    /// Returns the KV memory.
    pub const fn memory(&self) -> &memory::Memory {
        &self.memory
    }

    /// Returns the records.
    pub const fn records(&self) -> &records::Records {
        &self.records
    }

    /// Returns the adapters that are loaded.
    pub const fn adapters(&self) -> &collections::BTreeSet<String> {
        &self.adapters
    }

    /// Returns the role that the last order set.
    pub fn role(&self) -> Option<&str> {
        self.role.as_deref()
    }

    /// Returns the active faults.
    pub const fn faults(&self) -> &faults::Faults {
        &self.faults
    }

    /// Returns the changes of the prefix cache since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<prefix_cache::CacheChange> {
        self.cache.take_changes()
    }

    /// Ends the prefill of a shard for another engine's request.
    pub fn leave(&mut self, now: time::Duration, id: &str) {
        let number = self.numbers.get(id).copied();
        let member = number.filter(|n| self.jobs.get(n).is_some_and(|job| job.member));
        if let Some(number) = member {
            self.end(now, number, progress::End::Finished);
        }
    }

    /// Records that one more engine of a gang has prefilled its shard.
    pub fn member_prefilled(&mut self, now: time::Duration, id: &str) {
        self.advance(now);
        let Some(number) = self.numbers.get(id).copied() else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&number) {
            job.members_left = job.members_left.saturating_sub(1);
        }
        self.queue(number);
        self.begin_step(now);
    }

    /// Returns a view of a request whose output is still kept.
    pub fn find(&mut self, now: time::Duration, id: &str) -> Option<job::Handle> {
        self.advance(now);
        let number = self.numbers.get(id)?;
        let job = self.jobs.get(number)?;
        (!job.member).then(|| job.handle())
    }

    /// Returns a view of some other running request.
    pub fn find_other(&self, id: &str) -> Option<job::Handle> {
        let others = self.running.iter().filter_map(|n| self.jobs.get(n));
        let mut others = others.filter(|job| job.id != id && !job.member);
        others.next().map(job::Job::handle)
    }

    /// Returns the prefixes that an export of a request's KV cache holds.
    pub fn export(&self, id: &str) -> Option<sync::Arc<[u64]>> {
        let job = self.jobs.get(self.numbers.get(id)?)?;
        let prefilled = job.progress.borrow().prefilled;
        prefilled.then(|| sync::Arc::clone(&job.prefixes))
    }

    /// Stores imported prefixes and returns how many tokens fit.
    pub fn import(&mut self, now: time::Duration, prefixes: &[u64]) -> u64 {
        self.advance(now);
        self.cache.store(prefixes, self.memory.free());
        self.cache.lookup(prefixes)
    }

    /// Cancels a request and frees its memory; an unknown one changes nothing.
    pub fn cancel(&mut self, now: time::Duration, id: &str) {
        self.end_by_id(now, id, progress::End::Cancelled);
    }

    /// Aborts a request because an engine of its gang is lost.
    pub fn break_off(&mut self, now: time::Duration, id: &str) {
        self.end_by_id(now, id, progress::End::Broken);
    }

    /// Releases a reservation and cancels the request that runs under it.
    pub fn release(&mut self, now: time::Duration, id: &str) {
        self.advance(now);
        if self.memory.reservation(id).is_some() {
            self.cancel(now, id);
            self.memory.release(id);
        }
    }

    /// Returns when the current step ends.
    pub fn next_step_at(&self) -> Option<time::Duration> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Runs all steps that end at or before `now`.
    pub fn advance(&mut self, now: time::Duration) {
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            let ended_at = step.ends_at;
            self.finish_step(step);
            self.begin_step(ended_at);
        }
        self.forget_ended(now);
    }

    /// Puts a request into the queue for its state.
    fn queue(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.ended() {
            return;
        }
        if job.prefill_left > 0 {
            self.prefill.insert((job.priority, number));
            return;
        }
        self.prefill.remove(&(job.priority, number));
        job.progress.send_if_modified(|p| {
            let changed = !p.prefilled;
            p.prefilled = true;
            changed
        });
        if job.decodes() {
            self.decode.insert(number);
        }
    }

    fn end_by_id(&mut self, now: time::Duration, id: &str, end: progress::End) {
        self.advance(now);
        if let Some(number) = self.numbers.get(id).copied() {
            self.end(now, number, end);
        }
    }

    fn end(&mut self, now: time::Duration, number: u64, end: progress::End) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.ended() {
            return;
        }
        job.progress.send_modify(|p| p.end = Some(end));
        self.records.end_request(job.record, end.name());
        self.prefill.remove(&(job.priority, number));
        self.decode.remove(&number);
        self.running.remove(&number);
        self.memory.free_hold(&job.id);
        if job.member {
            self.forget(number);
        } else {
            self.ended.push_back((now, number));
        }
        if end == progress::End::Finished {
            self.count_finished();
        }
    }

    fn forget_ended(&mut self, now: time::Duration) {
        while let Some((at, number)) = self.ended.front().copied() {
            if now < at + KEPT {
                return;
            }
            self.ended.pop_front();
            self.forget(number);
        }
    }

    fn forget(&mut self, number: u64) {
        if let Some(job) = self.jobs.remove(&number) {
            self.numbers.remove(&job.id);
        }
    }
}
