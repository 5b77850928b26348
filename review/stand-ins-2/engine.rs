//! Passes of a model runner, by the formulas of the pages.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc, Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Steps of a pass in which requests write.
pub const STRIDE: u64 = 46;
/// KV memory of a runner, in tokens.
pub const MEMORY: u64 = 450_000;
const STEP_MS: f64 = 0.925;
const PER_SEQ_MS: f64 = 0.00483;
const CONTEXT_MS_PER_K: f64 = 0.00254;
const READ_PER_MS: f64 = 256.0;
const PAIRS_MS_PER_M: f64 = 0.0917;
const CHUNK: u64 = 2048;

/// A request, or the part of another runner's prompt that this one reads.
pub struct Job {
    /// Tokens that this runner is to read.
    pub unread: u64,
    /// Tokens of the whole prompt, if other runners read parts of it.
    pub whole: Option<u64>,
    /// Tokens to write; none for a part of another runner's prompt.
    pub unwritten: u64,
    /// Parts that other runners have not read yet.
    pub others: Arc<AtomicUsize>,
}

struct Running {
    job: Job,
    read: u64,
    written: u64,
    /// Is told the number of tokens that are written after each pass, and of the end of reading.
    tx: mpsc::Sender<u64>,
}

impl Running {
    fn is_writing(&self) -> bool {
        self.job.unread == 0 && self.job.unwritten > 0 && self.job.others.load(Ordering::Relaxed) == 0
    }

    fn context(&self) -> u64 {
        self.job.whole.unwrap_or(self.read) + self.written
    }
}

/// A model runner's engine, which works for as long as the process runs.
#[derive(Clone, Default)]
pub struct Engine {
    jobs: Arc<Mutex<Vec<Running>>>,
    /// Reserved tokens and the ends of the leases, by identifier.
    tickets: Arc<Mutex<HashMap<String, (u64, Instant)>>>,
}

impl Engine {
    pub fn start() -> Self {
        let engine = Self::default();
        let jobs = Arc::clone(&engine.jobs);
        thread::spawn(move || {
            let mut due = Instant::now();
            loop {
                let took_ms = pass(&mut jobs.lock().unwrap());
                let late = Instant::now().checked_sub(Duration::from_millis(20)).unwrap_or(due);
                due = due.max(late) + Duration::from_secs_f64(took_ms.max(1.0) / 1_000.0);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                jobs.lock().unwrap().retain_mut(|running| {
                    let is_part = running.written == 0 && running.job.unwritten == 0;
                    let tells = if is_part { running.job.unread == 0 } else { running.written > 0 };
                    let is_heard = !tells || running.tx.send(running.written).is_ok();
                    is_heard && (running.job.unwritten > 0 || running.job.unread > 0)
                });
            }
        });
        engine
    }

    /// Begins a job; the receiver is told the number of tokens that are written, or that a part is read.
    pub fn begin(&self, job: Job) -> mpsc::Receiver<u64> {
        let (tx, rx) = mpsc::channel();
        self.jobs.lock().unwrap().push(Running { job, read: 0, written: 0, tx });
        rx
    }

    /// Returns the number of requests and the tokens in memory.
    pub fn load(&self) -> (usize, u64) {
        let jobs = self.jobs.lock().unwrap();
        let used: u64 = jobs.iter().map(Running::context).sum();
        (jobs.len(), used + self.reserved())
    }

    fn reserved(&self) -> u64 {
        let mut tickets = self.tickets.lock().unwrap();
        tickets.retain(|_, (_, until)| *until > Instant::now());
        tickets.values().map(|(tokens, _)| tokens).sum()
    }

    /// Reserves memory or renews a reservation; returns the tokens that are left, none if there are too few.
    pub fn reserve(&self, id: &str, tokens: u64, hold: Duration) -> Option<u64> {
        let (_, used) = self.load();
        let mut tickets = self.tickets.lock().unwrap();
        let own = tickets.get(id).map_or(0, |(tokens, _)| *tokens);
        let left = (MEMORY + own).checked_sub(used)?.checked_sub(tokens)?;
        tickets.insert(id.to_owned(), (tokens, Instant::now() + hold));
        Some(left)
    }

    pub fn release(&self, id: &str) {
        self.tickets.lock().unwrap().remove(id);
    }
}

/// Works on all requests for one pass, and returns how long it takes in milliseconds. Parts of prompts
/// are read ahead of others, and these in the order of their arrival.
fn pass(jobs: &mut [Running]) -> f64 {
    let writers = jobs.iter().filter(|it| it.is_writing()).count();
    let context: u64 = jobs.iter().filter(|it| it.is_writing()).map(Running::context).sum();
    let steps = if writers > 0 { STRIDE } else { 1 };
    let step_ms = STEP_MS + writers as f64 * PER_SEQ_MS + context as f64 / 1_000.0 * CONTEXT_MS_PER_K;
    for running in jobs.iter_mut().filter(|it| it.is_writing()) {
        let tokens = steps.min(running.job.unwritten);
        running.job.unwritten -= tokens;
        running.written += tokens;
    }
    let mut took_ms = if writers > 0 { steps as f64 * step_ms } else { 0.0 };
    for _ in 0..steps {
        let is_unread = |it: &Running| it.job.unread > 0;
        let next = jobs.iter().position(|it| is_unread(it) && it.job.whole.is_some());
        let Some(next) = next.or_else(|| jobs.iter().position(is_unread)) else {
            break;
        };
        let running = &mut jobs[next];
        let tokens = CHUNK.min(running.job.unread);
        // Each part has its share of the pairs of the whole prompt.
        let before = running.job.whole.map_or(running.read as f64 + tokens as f64 / 2.0, |whole| whole as f64 / 2.0);
        took_ms += tokens as f64 / READ_PER_MS + tokens as f64 * before / 1e6 * PAIRS_MS_PER_M;
        running.job.unread -= tokens;
        running.read += tokens;
    }
    took_ms
}
