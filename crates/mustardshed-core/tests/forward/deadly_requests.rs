//! Load pattern: requests that crash servers come at all entries of a large fleet, beside sound ones.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{forward::quarantine, ids};
use rand::{RngExt, SeedableRng, rngs};

/// Entries and engines of a large fleet.
const ENTRIES: usize = 195;
const ENGINES: usize = 135;
/// Duration of one step of the simulation.
const STEP: time::Duration = time::Duration::from_millis(10);
/// Steps until an entry hears of another one's report, and until a check confirms a crash.
const HEARD_AFTER: u64 = 5;
/// Steps that an engine takes to begin its answer.
const MAX_TIME_TO_ANSWER: u64 = 80;
/// Steps for which a crashed engine is down.
const DOWN_STEPS: u64 = 300;
/// Probability of a request in each step, twice for sound ones.
const SOUND: f64 = 0.9;
const DEADLY: f64 = 0.06;
/// Most engines that crash together for another reason, as when a data centre loses power.
const MAX_OTHER_CRASHES: usize = 20;
/// Probability that engines crash for another reason, or an entry restarts, in each step.
const OTHER_CRASH: f64 = 0.02;
const RESTART: f64 = 0.02;
/// Length of the simulation.
const STEPS: u64 = 2_000;
/// Steps after the fifth crash from which on requests that crash servers must be rejected.
const STABLE_STEPS: u64 = 400;
/// Such requests that may still reach engines.
const MAX_LATE: usize = 3;

/// What an entry tells all others.
#[derive(Clone)]
enum Report {
    Crash(quarantine::Crash),
    Answered(Vec<ids::PromptPartId>, ids::Timestamp),
}

struct Request {
    entry: usize,
    engine: usize,
    parts: Vec<ids::PromptPartId>,
    begins_at: u64,
    is_deadly: bool,
}

/// Counts of the requests of one run.
#[derive(Debug, Default)]
struct Outcome {
    deadly_crashes: usize,
    fifth_crash_at: Option<u64>,
    late: usize,
    sound_rejected: usize,
}

struct Fleet {
    rng: rngs::StdRng,
    step: u64,
    entries: Vec<quarantine::Quarantine>,
    reports: collections::VecDeque<(u64, Report)>,
    running: Vec<Request>,
    down_until: Vec<u64>,
    outcome: Outcome,
}

fn at(step: u64) -> ids::Timestamp {
    STEP * u32::try_from(step).unwrap_or(u32::MAX) + time::Duration::from_secs(1)
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            step: 0,
            entries: (0..ENTRIES)
                .map(|_| quarantine::Quarantine::default())
                .collect(),
            reports: collections::VecDeque::new(),
            running: Vec::new(),
            down_until: vec![0; ENGINES],
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, deadly_parts: u32) -> Outcome {
        while self.step < STEPS {
            self.step += 1;
            self.deliver();
            for _ in 0..2 {
                if self.rng.random_bool(SOUND) {
                    // A subject has few requests; those of a caller have a part in common.
                    let subject = self.rng.random_range(0..40);
                    self.send(
                        format!("common caller{} subject{subject}", subject % 3),
                        false,
                    );
                }
            }
            if deadly_parts > 0 && self.rng.random_bool(DEADLY) {
                let part = self.rng.random_range(0..deadly_parts);
                self.send(format!("common caller1 deadly{part}"), true);
            }
            if self.rng.random_bool(OTHER_CRASH) {
                let first = self.rng.random_range(0..ENGINES);
                let count = self.rng.random_range(1..MAX_OTHER_CRASHES);
                for engine in first..ENGINES.min(first + count) {
                    self.crash(engine);
                }
            }
            if self.rng.random_bool(RESTART) {
                self.restart();
            }
            self.answer();
        }
        self.outcome
    }

    fn send(&mut self, shared: String, is_deadly: bool) {
        let entry = self.rng.random_range(0..ENTRIES);
        let mut parts: Vec<ids::PromptPartId> = shared.split(' ').map(str::to_owned).collect();
        if self.entries[entry]
            .remaining(&parts, at(self.step))
            .is_some()
        {
            self.outcome.sound_rejected += usize::from(!is_deadly);
            return;
        }
        let bound = self.outcome.fifth_crash_at.map(|step| step + STABLE_STEPS);
        if is_deadly && bound.is_some_and(|bound| self.step > bound) {
            self.outcome.late += 1;
        }
        parts.push(format!("own{}", self.rng.random::<u64>()));
        let begins_at = self.step + self.rng.random_range(5..MAX_TIME_TO_ANSWER);
        let up = (0..ENGINES).filter(|engine| self.down_until[*engine] <= self.step);
        let up: Vec<usize> = up.collect();
        let engine = up[self.rng.random_range(0..up.len())];
        self.running.push(Request {
            entry,
            engine,
            parts,
            begins_at,
            is_deadly,
        });
    }

    fn answer(&mut self) {
        let step = self.step;
        let begun = self.running.extract_if(.., |req| req.begins_at <= step);
        for req in begun.collect::<Vec<Request>>() {
            if req.is_deadly {
                self.outcome.deadly_crashes += 1;
                if self.outcome.deadly_crashes == 5 {
                    self.outcome.fifth_crash_at = Some(step);
                }
                let engine = req.engine;
                self.running.push(req);
                self.crash(engine);
            } else {
                let shared = &req.parts[..req.parts.len() - 1];
                let told = self.entries[req.entry].record_answer(shared, at(step));
                if !told.is_empty() {
                    self.tell(Report::Answered(told, at(step)));
                }
            }
        }
    }

    /// Crashes an engine; each entry reports its own requests there.
    fn crash(&mut self, engine: usize) {
        self.down_until[engine] = self.step + DOWN_STEPS;
        let cut = self.running.extract_if(.., |req| req.engine == engine);
        let cut: Vec<Request> = cut.collect();
        for req in &cut {
            self.tell(Report::Crash(quarantine::Crash {
                started_unix_ms: None,
                server: format!("i-{engine}"),
                at: at(self.step),
                suspects: quarantine::Suspect::new(&req.parts).into_iter().collect(),
            }));
        }
    }

    fn tell(&mut self, report: Report) {
        self.reports.push_back((self.step + HEARD_AFTER, report));
    }

    fn deliver(&mut self) {
        let now = at(self.step);
        let step = self.step;
        while let Some((_, report)) = self.reports.pop_front_if(|(due, _)| *due <= step) {
            let mut sound = collections::BTreeSet::new();
            for entry in &mut self.entries {
                match report.clone() {
                    Report::Crash(crash) => sound.extend(entry.record_crash(crash, now).sound),
                    Report::Answered(parts, at) => entry.record_peer_answer(&parts, at),
                }
            }
            if !sound.is_empty() {
                self.tell(Report::Answered(sound.into_iter().collect(), now));
            }
        }
    }

    /// Restarts an entry, which learns from another one what that knows.
    fn restart(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        let peer = (entry + 1) % ENTRIES;
        let mut fresh = quarantine::Quarantine::default();
        for crash in self.entries[peer].crashes().cloned() {
            fresh.record_crash(crash, at(self.step));
        }
        for culprit in self.entries[peer].culprits().to_vec() {
            fresh.adopt(culprit, at(self.step));
        }
        self.entries[entry] = fresh;
        self.running.retain(|req| req.entry != entry);
    }
}

// Guards against requests that crash one server of a large fleet after the other (BUDGET), and
// against the rejection of sound ones (LOST).
#[gtest]
fn large_fleet_rejects_requests_that_crash_servers_and_no_others() -> Result<()> {
    for (seed, deadly_parts) in [(1, 1), (2, 1), (3, 2)] {
        let outcome = Fleet::new(seed).run(deadly_parts);

        expect_that!(outcome.deadly_crashes, ge(3), "seed {seed}");
        expect_that!(outcome.late, le(MAX_LATE), "seed {seed}");
        expect_that!(outcome.sound_rejected, eq(0), "seed {seed}");
    }
    Ok(())
}

#[gtest]
fn large_fleet_rejects_nothing_when_servers_crash_for_other_reasons() -> Result<()> {
    for seed in 1..4 {
        let outcome = Fleet::new(seed).run(0);

        expect_that!(outcome.sound_rejected, eq(0), "seed {seed}");
    }
    Ok(())
}
