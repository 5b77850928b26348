//! Cold and warm state of an engine, and the crash that loses its requests.

use std::time;

use crate::engine::{faults, progress, scheduler};

impl scheduler::Scheduler {
    /// Changes the active faults.
    pub fn change_faults(&mut self, now: time::Duration, change: &faults::FaultChange) {
        self.advance(now);
        let was_dead = self.faults.dead;
        self.faults.apply(change);
        if change.turn_cold {
            self.turn_cold();
        }
        if self.faults.dead && !was_dead {
            self.lose_everything(now);
        }
    }

    pub(super) fn count_finished(&mut self) {
        if self.warmth == scheduler::Warmth::Warm {
            return;
        }
        self.finished_cold += 1;
        if self.finished_cold >= self.settings.warm_after {
            self.warmth = scheduler::Warmth::Warm;
        }
    }

    fn turn_cold(&mut self) {
        self.epoch += 1;
        self.warmth = scheduler::Warmth::Cold;
        self.finished_cold = 0;
        self.cache.clear();
    }

    pub(super) fn fall_over(&mut self, now: time::Duration) {
        self.records.fell_over += 1;
        self.records.max_running_cold = self.records.max_running_cold.max(self.running.len() + 1);
        self.down_until = Some(now + scheduler::DOWN);
        self.lose_everything(now);
    }

    fn lose_everything(&mut self, now: time::Duration) {
        let running: Vec<u64> = self.running.iter().copied().collect();
        for number in running {
            self.end(now, number, progress::End::Broken);
        }
        self.jobs.clear();
        self.numbers.clear();
        self.ended.clear();
        self.memory.clear();
        self.step = None;
        self.turn_cold();
    }
}
