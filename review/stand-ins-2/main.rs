//! Stand-ins of the second review: the platform's store, runners and clients, and the scripts' cases.
//!
//! `stand-ins CASE RECORD` plays a case from the root of the repository and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left
//! out. `stand-ins runner KIND ID` is one runner.

use std::{env, panic, path::Path, process, sync::mpsc, thread, time::Duration};

mod cases;
mod engine;
mod fleet;
mod http;
mod runner;
mod store;

/// Longest time of a case; one that takes longer could not run.
const MAX_TIME: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match args.iter().map(String::as_str).collect::<Vec<&str>>()[..] {
        ["runner", kind, id] => runner::run(kind, id),
        [case, record] => {
            let case = case.to_owned();
            let record = fleet::Record::create(Path::new(record));
            let (tx, rx) = mpsc::channel();
            thread::spawn(move || {
                let outcome = panic::catch_unwind(|| cases::play(&case, &record, has_trouble));
                let _ = tx.send(outcome.ok().flatten());
            });
            let code = rx.recv_timeout(MAX_TIME).ok().flatten();
            fleet::end_all();
            process::exit(code.map_or(2, |is_broken| if is_broken { 1 } else { 0 }));
        }
        _ => {
            eprintln!("usage: stand-ins CASE RECORD | stand-ins runner KIND ID");
            process::exit(2);
        }
    }
}
