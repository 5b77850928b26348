//! Passes of a model runner, by the formulas of the pages.

use std::{
    sync::{mpsc, Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Steps of a pass in which requests write.
pub const STRIDE: u64 = 46;
const STEP_MS: f64 = 0.925;
const PER_SEQ_MS: f64 = 0.00483;
const CONTEXT_MS_PER_K: f64 = 0.00254;
const READ_PER_MS: f64 = 256.0;
const PAIRS_MS_PER_M: f64 = 0.0917;
const CHUNK: u64 = 2048;

struct Job {
    unread: u64,
    read: u64,
    unwritten: u64,
    written: u64,
    /// Is told the number of tokens that are written after each pass.
    tx: mpsc::Sender<u64>,
}

/// A model runner's engine, which works for as long as the process runs.
#[derive(Clone)]
pub struct Engine(Arc<Mutex<Vec<Job>>>);

impl Engine {
    pub fn start() -> Self {
        let engine = Self(Arc::default());
        let jobs = Arc::clone(&engine.0);
        thread::spawn(move || {
            let mut due = Instant::now();
            loop {
                let took_ms = pass(&mut jobs.lock().unwrap());
                due = due.max(Instant::now() - Duration::from_millis(20)) + Duration::from_secs_f64(took_ms.max(1.0) / 1_000.0);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                jobs.lock().unwrap().retain_mut(|job| {
                    let is_sent = job.written == 0 || job.tx.send(job.written).is_ok();
                    is_sent && job.unwritten > 0
                });
            }
        });
        engine
    }

    /// Begins a request; the receiver is told the number of tokens that are written.
    pub fn begin(&self, prompt: u64, answer: u64) -> mpsc::Receiver<u64> {
        let (tx, rx) = mpsc::channel();
        self.0.lock().unwrap().push(Job { unread: prompt, read: 0, unwritten: answer, written: 0, tx });
        rx
    }

    /// Returns the number of requests and the tokens in memory.
    pub fn load(&self) -> (usize, u64) {
        let jobs = self.0.lock().unwrap();
        (jobs.len(), jobs.iter().map(|job| job.read + job.written).sum())
    }
}

/// Works on all requests for one pass, and returns how long it takes in milliseconds. Prompts are read
/// in the order of their arrival.
fn pass(jobs: &mut [Job]) -> f64 {
    let is_writing = |job: &Job| job.unread == 0;
    let writers = jobs.iter().filter(|job| is_writing(job)).count();
    let context: u64 = jobs.iter().filter(|job| is_writing(job)).map(|job| job.read + job.written).sum();
    let steps = if writers > 0 { STRIDE } else { 1 };
    let step_ms = STEP_MS + writers as f64 * PER_SEQ_MS + context as f64 / 1_000.0 * CONTEXT_MS_PER_K;
    for job in jobs.iter_mut().filter(|job| is_writing(job)) {
        let tokens = steps.min(job.unwritten);
        job.unwritten -= tokens;
        job.written += tokens;
    }
    let mut took_ms = if writers > 0 { steps as f64 * step_ms } else { 0.0 };
    for _ in 0..steps {
        let Some(job) = jobs.iter_mut().find(|job| job.unread > 0) else {
            break;
        };
        let tokens = CHUNK.min(job.unread);
        took_ms += tokens as f64 / READ_PER_MS + tokens as f64 * job.read as f64 / 1e6 * PAIRS_MS_PER_M;
        job.unread -= tokens;
        job.read += tokens;
    }
    took_ms
}
