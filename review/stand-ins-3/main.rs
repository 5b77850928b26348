//! Cases of the third review that are shown by a script: `rig CASE FOLDER`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod entry;
mod json;
mod runner;
mod slow_body;
mod stale_key;
mod store;

use std::{
    fs, panic,
    path::Path,
    process,
    sync::{mpsc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Longest time of a case; one that takes longer could not run. Entries end with this program.
const MAX_TIME: Duration = Duration::from_secs(110);

/// What was sent, answered and run, one line each, with the time since the start.
pub struct Record {
    since: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn add(&self, line: &str) {
        self.add_at(Instant::now(), line);
    }

    pub fn add_at(&self, at: Instant, line: &str) {
        let at = at.saturating_duration_since(self.since).as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:9.4} s  {line}"));
    }

    fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap();
        lines.sort();
        fs::write(path, lines.join("\n") + "\n").unwrap();
    }
}

/// Whether a rule was broken.
pub enum Outcome {
    Broken,
    Held,
    NotRun(String),
}

/// What a case gets.
#[derive(Clone, Copy)]
pub struct Setting<'a> {
    /// A folder of its own, for settings and logs.
    pub folder: &'a Path,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub record: &'a Record,
}

fn play(case: &str, setting: &Setting<'_>) -> Outcome {
    if !Path::new(entry::PROGRAM).exists() {
        return Outcome::NotRun(format!("{} is not built", entry::PROGRAM));
    }
    match case {
        "stale-key" => stale_key::run(setting),
        "slow-body" => slow_body::run(setting),
        other => Outcome::NotRun(format!("no case {other}")),
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record_path] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER RECORD");
        process::exit(2);
    };
    let record: &'static Record = Box::leak(Box::new(Record {
        since: Instant::now(),
        lines: Mutex::default(),
    }));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder) = (case.clone(), folder.clone());
    let (tx, rx) = mpsc::channel();
    let playing = thread::spawn(move || {
        let setting = Setting {
            folder: Path::new(&folder),
            has_trouble,
            record,
        };
        let outcome = panic::catch_unwind(|| play(&case, &setting));
        let _ = tx.send(outcome.unwrap_or_else(|_| Outcome::NotRun("the script panicked".to_owned())));
    });
    let outcome = rx.recv_timeout(MAX_TIME);
    let outcome = outcome.unwrap_or_else(|_| Outcome::NotRun("it took too long".to_owned()));
    let (line, code) = match outcome {
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::NotRun(reason) => (format!("could not run: {reason}"), 2),
    };
    record.add(&line);
    println!("{line}");
    record.write(Path::new(record_path));
    drop(playing);
    process::exit(code);
}
