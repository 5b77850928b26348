//! State machine of a plain service, without sockets or clocks.

use std::{collections, time};

use crate::service::{
    call, counts, execution_log, faults, faults_change, load_report, refusal, settings,
};

/// Time for which a service refuses calls after it crashed under load.
const DOWN: time::Duration = time::Duration::from_secs(5);
/// Factor by which a call takes longer on a cold service.
const COLD_FACTOR: u32 = 4;

/// A started execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Started {
    /// Number of the execution.
    pub execution: u64,
    /// Time that the execution takes.
    pub work: time::Duration,
}

/// State of a plain service.
#[derive(Debug)]
pub struct Machine {
    settings: settings::Settings,
    faults: faults::Faults,
    epoch: u64,
    warmth: load_report::Warmth,
    finished_cold: u64,
    fallen_until: Option<time::Duration>,
    running: collections::BTreeMap<u64, String>,
    log: execution_log::ExecutionLog,
    fell_over: u64,
    max_running_cold: usize,
}

impl Machine {
    /// Creates a service whose first warm period has the number `epoch`.
    pub fn new(settings: settings::Settings, epoch: u64) -> Self {
        let warmth = match settings.start_cold {
            true => load_report::Warmth::Cold,
            false => load_report::Warmth::Warm,
        };
        Self {
            settings,
            faults: faults::Faults::default(),
            epoch,
            warmth,
            finished_cold: 0,
            fallen_until: None,
            running: collections::BTreeMap::new(),
            log: execution_log::ExecutionLog::default(),
            fell_over: 0,
            max_running_cold: 0,
        }
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &settings::Settings {
        &self.settings
    }

    /// Returns the active faults.
    pub const fn faults(&self) -> &faults::Faults {
        &self.faults
    }

    /// Returns the executions.
    pub const fn log(&self) -> &execution_log::ExecutionLog {
        &self.log
    }

    /// Returns the number of the warm period.
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Begins an execution; beyond its cold limit, a cold service crashes.
    ///
    /// # Errors
    ///
    /// Returns why the call is not executed.
    pub fn begin(
        &mut self,
        call: &call::Call,
        now: time::Duration,
    ) -> Result<Started, refusal::Refusal> {
        self.admit(now)?;
        let non_repeatable = self.is_non_repeatable(call);
        let execution = self.log.push(call, non_repeatable);
        self.running.insert(execution, call.request_id.clone());
        let work = self.work();
        if self.warmth == load_report::Warmth::Cold {
            self.max_running_cold = self.max_running_cold.max(self.running.len());
            self.fall_over_beyond_limit(now);
        }
        Ok(Started { execution, work })
    }

    /// Ends an execution, and returns whether to send its response.
    pub fn finish(&mut self, execution: u64) -> bool {
        if self.running.remove(&execution).is_none() {
            return false;
        }
        if self.warmth == load_report::Warmth::Cold {
            self.finished_cold += 1;
            self.warm_up();
        }
        !self.faults.loses_answer()
    }

    /// Returns whether an execution is still running, not aborted.
    pub fn runs(&self, execution: u64) -> bool {
        self.running.contains_key(&execution)
    }

    /// Changes the active faults.
    ///
    /// # Errors
    ///
    /// Returns a reason if a value is above its limit.
    pub fn change_faults(&mut self, change: &faults_change::FaultsChange) -> Result<(), String> {
        self.faults.apply(change)?;
        if change.turn_cold {
            self.turn_cold();
        }
        if self.faults.dead {
            self.running.clear();
        }
        Ok(())
    }

    /// Returns the current load.
    pub fn load(&self) -> load_report::LoadReport {
        let held = self.running.values().map(|id| load_report::HeldCall {
            id: id.clone(),
            tokens: 0,
            reservation: false,
        });
        load_report::LoadReport {
            epoch: self.epoch,
            warmth: self.warmth,
            leaving: self.faults.leaving,
            age_ms: 0,
            memory_tokens: 0,
            used_tokens: 0,
            queued_prefill_tokens: 0,
            running: self.running.len(),
            models: collections::BTreeMap::new(),
            held: held.collect(),
        }
    }

    /// Returns the counts so far.
    pub const fn counts(&self) -> counts::Counts {
        counts::Counts {
            executions: self.log.executions(),
            fell_over: self.fell_over,
            max_running_cold: self.max_running_cold,
            epoch: self.epoch,
        }
    }

    /// Returns whether the service refuses calls because it crashed under load.
    pub fn is_fallen(&self, now: time::Duration) -> bool {
        self.fallen_until.is_some_and(|until| now < until)
    }

    fn admit(&self, now: time::Duration) -> Result<(), refusal::Refusal> {
        if self.faults.dead {
            return Err(refusal::Refusal::Dead);
        }
        if self.is_fallen(now) {
            return Err(refusal::Refusal::FellOver);
        }
        if self.faults.leaving {
            return Err(refusal::Refusal::Leaving);
        }
        if self.running.len() >= self.settings.max_running {
            return Err(refusal::Refusal::TooManyRunning);
        }
        Ok(())
    }

    fn is_non_repeatable(&self, call: &call::Call) -> bool {
        let mut patterns = self.settings.non_repeatable.iter();
        patterns.any(|pattern| pattern.matches(&call.method, &call.path))
    }

    fn work(&self) -> time::Duration {
        let work = self.faults.slowed(self.settings.work);
        match self.warmth {
            load_report::Warmth::Cold => work * COLD_FACTOR,
            load_report::Warmth::Warm => work,
        }
    }

    fn fall_over_beyond_limit(&mut self, now: time::Duration) {
        if self.running.len() <= self.settings.cold_limit {
            return;
        }
        self.fell_over += 1;
        self.running.clear();
        self.fallen_until = Some(now + DOWN);
        self.turn_cold();
    }

    const fn turn_cold(&mut self) {
        self.epoch += 1;
        self.warmth = load_report::Warmth::Cold;
        self.finished_cold = 0;
    }

    const fn warm_up(&mut self) {
        if self.finished_cold >= self.settings.warm_after {
            self.warmth = load_report::Warmth::Warm;
        }
    }
}
