//! Mixed load through the entries during the faults.

use std::{sync, time};

use rand::{RngExt, SeedableRng};
use sha2::Digest;
use tokio::task;

use super::{attempt, caller, entry_list, fleet_spec, note};
use crate::{demo::prompt, load::outcome};

/// Requests per second of each kind.
const RATES: [(Work, f64); 5] = [
    (Work::Completion(note::Sort::Short), 40.0),
    (Work::Completion(note::Sort::Stream), 3.0),
    (Work::Completion(note::Sort::Long), 1.5),
    (Work::Completion(note::Sort::Gang), 0.3),
    (Work::Charge, 10.0),
];
/// Maximum number of concurrent calls.
const MAX_OPEN: usize = 2_000;
/// Maximum number of connection attempts per completion.
const MAX_CONNECTIONS: usize = 3;
/// Maximum number of calls for one charge before its caller gives up.
const MAX_CHARGE_CALLS: usize = 8;
/// Pause before a charge is sent again.
const CHARGE_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Percentage of requests whose fate is queried.
const FATE_PERCENT: u32 = 25;
/// Percentage of charges that are repeated after a complete response.
const REPEAT_PERCENT: u32 = 25;
/// Maximum delay before a fate is queried or a charge repeated, in milliseconds.
const MAX_PAUSE_MS: u64 = 3_000;
/// Timeout of charges and short prompts.
const SHORT_DEADLINE: time::Duration = time::Duration::from_secs(8);
/// Timeout of all other requests.
const LONG_DEADLINE: time::Duration = time::Duration::from_secs(20);

#[derive(Clone, Copy, Debug)]
enum Work {
    Completion(note::Sort),
    Charge,
}

/// Generates the load and keeps the callers' records.
#[derive(Debug)]
pub struct Traffic {
    entries: entry_list::EntryList,
    caller: caller::Caller,
    /// Records of all callers.
    pub notes: note::Notes,
    seed: u64,
}

impl Traffic {
    /// Creates the load, with the initially known entries and the key of a client account.
    pub fn new(entries: Vec<String>, key: String, seed: u64) -> Self {
        Self {
            entries: entry_list::EntryList::new(entries, key.clone()),
            caller: caller::Caller::open(key),
            notes: note::Notes::default(),
            seed,
        }
    }

    /// Sends requests for the given time, then waits until every call has ended.
    pub async fn offer(self: sync::Arc<Self>, duration: time::Duration) {
        let mut background = task::JoinSet::new();
        let refresher = sync::Arc::clone(&self);
        background.spawn(async move { refresher.entries.refresh().await });
        let mut open = task::JoinSet::new();
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(self.seed);
        let started = tokio::time::Instant::now();
        let mut at = time::Duration::ZERO;
        let mut number = 0_u64;
        let total: f64 = RATES.iter().map(|(_, rate)| rate).sum();
        while at < duration {
            tokio::time::sleep_until(started + at).await;
            while open.try_join_next().is_some() {}
            if open.len() < MAX_OPEN {
                let work = draw(&mut rng, total);
                let traffic = sync::Arc::clone(&self);
                open.spawn(async move { traffic.execute(work, number).await });
            }
            number += 1;
            let uniform: f64 = rng.random();
            at += time::Duration::from_secs_f64(-(1.0 - uniform).ln() / total);
        }
        while open.join_next().await.is_some() {}
    }

    async fn execute(&self, work: Work, number: u64) {
        match work {
            Work::Completion(sort) => self.complete(sort, number).await,
            Work::Charge => self.charge(number).await,
        }
    }

    async fn complete(&self, sort: note::Sort, number: u64) {
        let prompt = prompt_of(sort, self.seed, number);
        let mut attempts: Vec<attempt::Attempt> = Vec::new();
        while attempts.len() < MAX_CONNECTIONS {
            let last = attempts.last().map(|attempt| attempt.entry.clone());
            let at = self.entries.choose(last.as_deref());
            let attempt = self.caller.complete(&prompt, at).await;
            let is_connected = attempt.is_connected();
            attempts.push(attempt);
            if is_connected {
                break;
            }
        }
        drop(prompt);
        let last = attempts.last().cloned();
        note::add(&self.notes.completions, note::Completion { sort, attempts });
        self.query_fate(last).await;
    }

    async fn charge(&self, number: u64) {
        let body = serde_json::json!({ "charge": format!("{}-{number}", self.seed) }).to_string();
        let charge = caller::ChargeCall {
            key: format!("key-{}-{number}", self.seed),
            body: body.clone().into(),
            deadline: SHORT_DEADLINE,
        };
        let attempts = self.charge_until_known(&charge).await;
        let last = attempts.last().cloned();
        let mut repeats = Vec::new();
        let is_completed = last
            .as_ref()
            .is_some_and(|last| last.outcome == outcome::Outcome::Completed);
        if is_completed && rand::rng().random_ratio(REPEAT_PERCENT, 100) {
            pause().await;
            let entry = last.as_ref().map(|last| last.entry.as_str());
            let at = self.entries.choose(entry);
            repeats.push(self.caller.charge(&charge, at).await);
        }
        note::add(
            &self.notes.charges,
            note::Charge {
                body_sha256: hex::encode(sha2::Sha256::digest(body.as_bytes())),
                attempts,
                repeats,
            },
        );
        self.query_fate(last).await;
    }

    /// Retries a charge at one entry after another while it may not have run or may still run.
    async fn charge_until_known(&self, charge: &caller::ChargeCall) -> Vec<attempt::Attempt> {
        let mut attempts: Vec<attempt::Attempt> = Vec::new();
        while attempts.len() < MAX_CHARGE_CALLS {
            let last = attempts.last().map(|attempt| attempt.entry.clone());
            let at = self.entries.choose(last.as_deref());
            let attempt = self.caller.charge(charge, at).await;
            let is_known = attempt.outcome == outcome::Outcome::Completed
                || matches!(attempt.told(), Some("failed" | "unknown" | "completed"));
            attempts.push(attempt);
            if is_known {
                break;
            }
            tokio::time::sleep(CHARGE_PAUSE).await;
        }
        attempts
    }

    async fn query_fate(&self, attempt: Option<attempt::Attempt>) {
        let Some(attempt) = attempt.filter(|attempt| !attempt.request_id.is_empty()) else {
            return;
        };
        if !rand::rng().random_ratio(FATE_PERCENT, 100) {
            return;
        }
        pause().await;
        let asked = self.entries.choose(Some(&attempt.entry)).url;
        let fate = self.caller.fate(attempt, &asked).await;
        note::add(&self.notes.fates, fate);
    }
}

fn draw(rng: &mut rand_pcg::Pcg64Mcg, total: f64) -> Work {
    let mut drawn: f64 = rng.random::<f64>() * total;
    for (work, rate) in RATES {
        if drawn < rate {
            return work;
        }
        drawn -= rate;
    }
    Work::Charge
}

async fn pause() {
    let millis = rand::rng().random_range(0..MAX_PAUSE_MS);
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

fn prompt_of(sort: note::Sort, seed: u64, number: u64) -> caller::Prompt {
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ (number << 20));
    let (tokens, max_tokens, deadline) = match sort {
        note::Sort::Short => (1_000..8_000, 32, SHORT_DEADLINE),
        note::Sort::Stream => (1_000..4_000, 2_000, LONG_DEADLINE),
        note::Sort::Long => (50_000..200_000, 32, LONG_DEADLINE),
        note::Sort::Gang => (450_000..750_000, 16, LONG_DEADLINE),
    };
    let service = match sort {
        note::Sort::Gang => fleet_spec::DRAFTS,
        _ if rng.random_ratio(1, 3) => fleet_spec::LEDGERS,
        _ => fleet_spec::DRAFTS,
    };
    let title = format!("Hymnal {seed}-{number}");
    caller::Prompt {
        service,
        text: prompt::of_tokens(&title, rng.random_range(tokens)),
        max_tokens,
        deadline,
    }
}
