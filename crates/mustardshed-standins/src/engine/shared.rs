//! State shared by an engine's connections, and the task that advances it.

use std::{sync, time};

use tokio::sync::Notify;

use crate::engine::{cache_events, clock, load_history, scheduler, settings, wire};

/// State of an engine behind a lock.
#[derive(Debug)]
pub(super) struct Shared {
    clock: clock::EngineClock,
    state: sync::Mutex<State>,
    wake: Notify,
}

#[derive(Debug)]
struct State {
    engine: scheduler::Scheduler,
    history: load_history::LoadHistory,
    events: cache_events::CacheEvents,
}

impl State {
    fn note_change(&mut self, now: time::Duration) {
        self.history.note_change();
        self.events.add(now, self.engine.take_cache_changes());
    }
}

impl Shared {
    /// Returns the state of an engine that starts now.
    pub(super) fn new(settings: settings::Settings) -> Self {
        let mut history = load_history::LoadHistory::default();
        history.note_change();
        Self {
            clock: clock::EngineClock::start(settings.time_scale),
            state: sync::Mutex::new(State {
                engine: scheduler::Scheduler::new(settings),
                history,
                events: cache_events::CacheEvents::default(),
            }),
            wake: Notify::new(),
        }
    }

    /// Changes the engine and wakes the task that advances it.
    pub(super) fn change<R>(
        &self,
        f: impl FnOnce(&mut scheduler::Scheduler, time::Duration) -> R,
    ) -> R {
        let mut state = self.lock();
        let now = self.clock.now();
        let result = f(&mut state.engine, now);
        state.note_change(now);
        drop(state);
        self.wake.notify_one();
        result
    }

    /// Reads from the engine.
    pub(super) fn read<R>(&self, f: impl FnOnce(&scheduler::Scheduler) -> R) -> R {
        f(&self.lock().engine)
    }

    /// Returns the records, with times in Unix milliseconds.
    pub(super) fn records(&self) -> wire::RecordsReport {
        let report = self.read(|e| wire::RecordsReport::from(e));
        report.with_times(|at_ms| self.clock.unix_ms(at_ms))
    }

    /// Returns the load report as old as the configured lag, and that lag in milliseconds.
    pub(super) fn lagging_load(&self) -> (sync::Arc<scheduler::LoadSnapshot>, u64) {
        let state = self.lock();
        let lag_ms = state.engine.faults().load_lag_ms;
        let at = self
            .clock
            .now()
            .saturating_sub(time::Duration::from_millis(lag_ms));
        let sampled = state.history.at(at).filter(|_| lag_ms > 0);
        let load = sampled.unwrap_or_else(|| sync::Arc::new(state.engine.load()));
        (load, lag_ms)
    }

    /// Returns the cache events after `since` that are published.
    pub(super) fn cache_events(&self, since: u64) -> cache_events::CacheEventPage {
        let state = self.lock();
        let now = self.clock.now();
        state.events.page(now, since, state.engine.faults())
    }

    /// Runs the steps of the batch as they become due.
    pub(super) async fn drive(&self) {
        loop {
            let due = self.tick();
            let woken = self.wake.notified();
            match due {
                Some(at) => {
                    let sleep = tokio::time::sleep_until(self.clock.wall(at).into());
                    tokio::select! {
                        () = sleep => {}
                        () = woken => {}
                    }
                }
                None => woken.await,
            }
        }
    }

    /// Runs what is due, and returns when the next step or sample is.
    fn tick(&self) -> Option<time::Duration> {
        let mut state = self.lock();
        let state = &mut *state;
        let now = self.clock.now();
        if state.engine.next_step_at().is_some_and(|at| at <= now) {
            state.engine.advance(now);
            state.note_change(now);
        }
        state.history.sample(now, &state.engine);
        let step = state.engine.next_step_at();
        let sample = state.history.next_sample_at();
        step.into_iter().chain(sample).min()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
