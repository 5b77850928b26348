//! The log as JSON lines; logging never blocks.
//!
//! Lines go through a bounded queue to a writer thread; those that find the queue full are dropped
//! and counted. Lines of requests without refusal or failure have one budget, all others another;
//! lines beyond a budget are thinned out and counted. The counts are logged themselves.

use std::{
    io::{self, Write},
    sync::{self, atomic, mpsc},
    thread, time,
};

use crate::log::event;

/// Capacity of the queue, in lines.
const QUEUE_LEN: usize = 8_192;
/// Delay before lines are written, so that one wake-up writes several.
pub(super) const BATCH_DELAY: time::Duration = time::Duration::from_millis(40);
/// Budget for lines of requests without refusal or failure, a second.
const ORDINARY_PER_S: u64 = 150;
/// Budget for all other lines, a second.
const OTHER_PER_S: u64 = 300;
/// Numbers of the events of requests without refusal or failure.
const ORDINARY: [u16; 6] = [1201, 1204, 1206, 1208, 1226, 1227];

/// Numbers of lines that were not written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LostLines {
    /// Lines beyond their budget.
    pub thinned: u64,
    /// Lines that found the queue full.
    pub dropped: u64,
}

/// Handle of the log.
#[derive(Debug)]
pub struct Lines {
    tx: mpsc::SyncSender<String>,
    budgets: sync::Mutex<Budgets>,
    thinned: atomic::AtomicU64,
    dropped: atomic::AtomicU64,
}

#[derive(Debug)]
struct Budgets {
    second: time::Instant,
    ordinary: u64,
    other: u64,
    reported: LostLines,
}

impl Lines {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn open(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUE_LEN);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&rx, out))?;
        Ok(Self {
            tx,
            budgets: sync::Mutex::new(Budgets {
                second: time::Instant::now(),
                ordinary: 0,
                other: 0,
                reported: LostLines::default(),
            }),
            thinned: atomic::AtomicU64::new(0),
            dropped: atomic::AtomicU64::new(0),
        })
    }

    /// Writes an event, unless it is beyond its budget or the queue is full.
    pub fn emit(&self, event: &event::Event<'_>) {
        let (is_within, lost) = self.budget(event.number());
        if let Some(lost) = lost {
            self.queue(&event::Event::LogThinned {
                thinned: lost.thinned,
                dropped: lost.dropped,
            });
        }
        if is_within {
            self.queue(event);
        } else {
            self.thinned.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }

    /// Returns the numbers of lines that were not written so far.
    pub fn lost(&self) -> LostLines {
        LostLines {
            thinned: self.thinned.load(atomic::Ordering::Relaxed),
            dropped: self.dropped.load(atomic::Ordering::Relaxed),
        }
    }

    /// Counts a line against its budget; returns whether it is within, and once a second the total
    /// of lost lines if that has grown.
    fn budget(&self, number: u16) -> (bool, Option<LostLines>) {
        let lost = self.lost();
        let budgets = self.budgets.lock();
        let mut budgets = budgets.unwrap_or_else(sync::PoisonError::into_inner);
        let mut grown = None;
        if budgets.second.elapsed() >= time::Duration::from_secs(1) {
            budgets.second = time::Instant::now();
            (budgets.ordinary, budgets.other) = (0, 0);
            if lost != budgets.reported {
                budgets.reported = lost;
                grown = Some(lost);
            }
        }
        let (used, limit) = if ORDINARY.contains(&number) {
            (&mut budgets.ordinary, ORDINARY_PER_S)
        } else {
            (&mut budgets.other, OTHER_PER_S)
        };
        *used += 1;
        (*used <= limit, grown)
    }

    fn queue(&self, event: &event::Event<'_>) {
        if self.tx.try_send(line(event)).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Returns an event as one line of JSON.
#[must_use]
pub fn line(event: &event::Event<'_>) -> String {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let at_ms = now.map_or(0, |now| now.as_millis());
    let mut fields = serde_json::Map::new();
    fields.insert("at_ms".to_owned(), super::value::Value::json(&at_ms));
    fields.insert("level".to_owned(), level(event.level()).into());
    fields.insert("event".to_owned(), event.number().into());
    fields.insert("name".to_owned(), event.name().into());
    let visited = event.visit(&mut |name, value| {
        fields.insert(name.to_owned(), value.json());
        Ok(())
    });
    // Nothing above returns an error.
    debug_assert!(visited.is_ok());
    serde_json::Value::Object(fields).to_string()
}

const fn level(level: spdlog::Level) -> &'static str {
    match level {
        spdlog::Level::Critical => "critical",
        spdlog::Level::Error => "error",
        spdlog::Level::Warn => "warn",
        spdlog::Level::Info => "info",
        spdlog::Level::Debug => "debug",
        spdlog::Level::Trace => "trace",
    }
}

fn write(rx: &mpsc::Receiver<String>, mut out: impl Write) {
    let mut buf = String::new();
    while let Ok(first) = rx.recv() {
        thread::sleep(BATCH_DELAY);
        buf.clear();
        for line in std::iter::once(first).chain(rx.try_iter()) {
            buf.push_str(&line);
            buf.push('\n');
        }
        // There is nowhere to report that the log cannot be written.
        let _ = out.write_all(buf.as_bytes()).and_then(|()| out.flush());
    }
}
