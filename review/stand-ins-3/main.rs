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
    fs,
    path::Path,
    process::ExitCode,
    sync::Mutex,
    time::Instant,
};

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
pub struct Setting<'a> {
    /// A folder of its own, for settings and logs.
    pub folder: &'a Path,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    pub record: &'a Record,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record_path] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = Record {
        since: Instant::now(),
        lines: Mutex::default(),
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setting = Setting {
        folder: Path::new(folder),
        has_trouble,
        record: &record,
    };
    let outcome = match case.as_str() {
        "stale-key" => stale_key::run(&setting),
        "slow-body" => slow_body::run(&setting),
        other => Outcome::NotRun(format!("no case {other}")),
    };
    let (line, code) = match outcome {
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::NotRun(reason) => (format!("could not run: {reason}"), 2),
    };
    record.add(&line);
    println!("{line}");
    record.write(Path::new(record_path));
    ExitCode::from(code)
}
