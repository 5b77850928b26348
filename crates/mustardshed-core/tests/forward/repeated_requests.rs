//! Load pattern: requests that crash servers are repeated at all entries of a large fleet, beside
//! sound ones.

use std::{collections, time};

use googletest::prelude::*;
use mustardshed_core::{forward::repeated_crashes, ids};
use rand::{RngExt, SeedableRng, rngs};

/// Entries and engines of a large fleet.
const ENTRIES: usize = 195;
const ENGINES: usize = 135;
/// Duration of one step of the simulation.
const STEP: time::Duration = time::Duration::from_millis(5);
/// Steps from a crash to its report, from the report until other entries hear of it, and until the
/// client of the request is answered.
const CHECKED_AFTER: u64 = 5;
const HEARD_AFTER: u64 = 8;
const ANSWERED_AFTER: u64 = 12;
/// Steps that an engine takes to begin its answer.
const TIME_TO_ANSWER: std::ops::Range<u64> = 6..160;
/// Steps for which a crashed engine is down.
const DOWN_STEPS: u64 = 600;
/// Attempts that an entry makes.
const MAX_ATTEMPTS: usize = 2;
/// Probability of a new request in each step, ten times for sound ones.
const SOUND: f64 = 0.9;
const DEADLY: f64 = 0.01;
/// Clients that send the same deadly request.
const CLIENTS: usize = 2;
/// Steps after which the second one begins, when the first has been refused: requests that are sent
/// at the same moment end servers that neither client knows of.
const SECOND_CLIENT_AFTER: u64 = 1_200;
/// Crashes after which a request may not be sent to an engine.
const MAX_CRASHES: usize = 3;
/// Sound requests for one that may be rejected: three crashes in a row have cut it, whose causes
/// were not yet known.
const MIN_SOUND_FOR_REJECTED: usize = 10_000;
/// Length of the simulation.
const STEPS: u64 = 4_000;

type Id = u64;

/// A request at an engine.
struct Attempt {
    entry: usize,
    engine: usize,
    id: Id,
    number: usize,
    begins_at: u64,
}

/// What is due at a step.
enum Event {
    /// An entry checks an engine that has broken off a request.
    Check(usize, usize, Vec<Id>),
    /// The other entries hear of a crash.
    Heard(usize, repeated_crashes::Crash),
    /// The other entries hear that a suspected request was answered.
    Cleared(usize, Id, ids::Timestamp),
    /// An entry has a request to send, as this attempt of it.
    Send(usize, Id, usize),
}

/// Counts of one run.
#[derive(Debug, Default)]
struct Outcome {
    crashes: collections::HashMap<Id, usize>,
    sent_after_three: usize,
    sound_rejected: usize,
    sound_answered: usize,
}

struct Fleet {
    rng: rngs::StdRng,
    step: u64,
    entries: Vec<repeated_crashes::RepeatedCrashes>,
    due: collections::BTreeMap<(u64, u64), Event>,
    running: Vec<Attempt>,
    down_until: Vec<u64>,
    next: u64,
    outcome: Outcome,
}

fn at(step: u64) -> ids::Timestamp {
    STEP * u32::try_from(step).unwrap_or(u32::MAX) + time::Duration::from_secs(1)
}

/// Every request with an odd number is deadly.
const fn is_deadly(id: Id) -> bool {
    id % 2 == 1
}

fn fingerprint(id: Id) -> repeated_crashes::Fingerprint {
    repeated_crashes::Fingerprint::new(&[&id.to_be_bytes()])
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let entries = (0..ENTRIES).map(|_| repeated_crashes::RepeatedCrashes::default());
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            step: 0,
            entries: entries.collect(),
            due: collections::BTreeMap::new(),
            running: Vec::new(),
            down_until: vec![0; ENGINES],
            next: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        while self.step < STEPS {
            self.step += 1;
            while let Some(entry) = self.due.first_entry()
                && entry.key().0 <= self.step
            {
                let event = entry.remove();
                self.handle(event);
            }
            for _ in 0..10 {
                if self.rng.random_bool(SOUND) {
                    self.send_anew(false);
                }
            }
            if self.rng.random_bool(DEADLY) {
                self.send_anew(true);
            }
            self.answer();
        }
        self.outcome
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.next += 1;
        self.due.insert((self.step + after, self.next), event);
    }

    fn send_anew(&mut self, deadly: bool) {
        self.next += 1;
        let id = self.next * 2 + u64::from(deadly);
        let clients = if deadly { CLIENTS } else { 1 };
        for client in 0..clients {
            let entry = self.rng.random_range(0..ENTRIES);
            let after = client as u64 * SECOND_CLIENT_AFTER;
            self.schedule(after, Event::Send(entry, id, 1));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Check(entry, engine, ids) => self.check(entry, engine, &ids),
            Event::Heard(from, crash) => {
                let now = at(self.step);
                for (_, entry) in others(&mut self.entries, from) {
                    entry.record_crash(crash.clone(), now);
                }
            }
            Event::Cleared(from, id, at) => {
                for (_, entry) in others(&mut self.entries, from) {
                    entry.record_answer(fingerprint(id), at);
                }
            }
            Event::Send(entry, id, number) => self.send(entry, id, number),
        }
    }

    fn send(&mut self, entry: usize, id: Id, number: usize) {
        let now = at(self.step);
        let crashes = &self.entries[entry];
        if crashes.remaining(fingerprint(id), now).is_some() {
            self.outcome.sound_rejected += usize::from(!is_deadly(id));
            return;
        }
        let ended = self.outcome.crashes.get(&id).copied().unwrap_or_default();
        self.outcome.sent_after_three += usize::from(ended >= MAX_CRASHES);
        let up = (0..ENGINES).filter(|engine| self.down_until[*engine] <= self.step);
        let up: Vec<usize> = up.collect();
        let engine = up[self.rng.random_range(0..up.len())];
        let begins_at = self.step + self.rng.random_range(TIME_TO_ANSWER);
        self.running.push(Attempt {
            entry,
            engine,
            id,
            number,
            begins_at,
        });
    }

    fn answer(&mut self) {
        let step = self.step;
        let begun = self.running.extract_if(.., |it| it.begins_at <= step);
        for attempt in begun.collect::<Vec<Attempt>>() {
            if self.down_until[attempt.engine] > step {
                self.cut(attempt);
            } else if is_deadly(attempt.id) {
                *self.outcome.crashes.entry(attempt.id).or_default() += 1;
                let engine = attempt.engine;
                self.cut(attempt);
                self.crash(engine);
            } else {
                self.outcome.sound_answered += 1;
                let entry = &mut self.entries[attempt.entry];
                if entry.record_answer(fingerprint(attempt.id), at(step)) {
                    let event = Event::Cleared(attempt.entry, attempt.id, at(step));
                    self.schedule(HEARD_AFTER, event);
                }
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        self.down_until[engine] = self.step + DOWN_STEPS;
        let cut = self.running.extract_if(.., |it| it.engine == engine);
        for attempt in cut.collect::<Vec<Attempt>>() {
            self.cut(attempt);
        }
    }

    /// Handles a request that was cut: the entry checks the engine, and tries again at once if the
    /// request is not suspected yet; the last attempt is repeated by its client.
    fn cut(&mut self, attempt: Attempt) {
        let Attempt {
            entry, engine, id, ..
        } = attempt;
        self.schedule(CHECKED_AFTER, Event::Check(entry, engine, vec![id]));
        let is_first = attempt.number == 1;
        let is_suspected = self.entries[entry].is_suspected(fingerprint(id));
        let (entry, number, after) = if attempt.number >= MAX_ATTEMPTS {
            let entry = self.rng.random_range(0..ENTRIES);
            (entry, 1, CHECKED_AFTER + ANSWERED_AFTER)
        } else if is_first && !is_suspected {
            (entry, attempt.number + 1, 0)
        } else {
            (entry, attempt.number + 1, CHECKED_AFTER)
        };
        self.schedule(after, Event::Send(entry, id, number));
    }

    fn check(&mut self, entry: usize, engine: usize, ids: &[Id]) {
        let attempts = ids.iter().map(|id| repeated_crashes::Attempt {
            request: fingerprint(*id),
            lasted: None,
        });
        let crash = repeated_crashes::Crash {
            started_unix_ms: None,
            server: format!("i-{engine}"),
            at: at(self.step),
            attempts: attempts.collect(),
        };
        self.entries[entry].record_crash(crash.clone(), at(self.step));
        self.schedule(HEARD_AFTER, Event::Heard(entry, crash));
    }
}

fn others(
    entries: &mut [repeated_crashes::RepeatedCrashes],
    from: usize,
) -> impl Iterator<Item = (usize, &mut repeated_crashes::RepeatedCrashes)> {
    let entries = entries.iter_mut().enumerate();
    entries.filter(move |(entry, _)| *entry != from)
}

// Guards against a repeated request that crashes one server of a large fleet after the other
// (BUDGET), and against the rejection of sound ones beside it (LOST).
#[gtest]
fn large_fleet_sends_no_request_that_has_ended_three_servers() -> Result<()> {
    for seed in 1..4 {
        let outcome = Fleet::new(seed).run();

        expect_that!(outcome.crashes.len(), ge(10), "seed {seed}");
        expect_that!(outcome.sent_after_three, eq(0), "seed {seed}");
        let max_rejected = outcome.sound_answered / MIN_SOUND_FOR_REJECTED;
        expect_that!(max_rejected, ge(1), "seed {seed}");
        expect_that!(outcome.sound_rejected, le(max_rejected), "seed {seed}");
    }
    Ok(())
}
