//! Runners are lost one after the other, while sessions ask about two documents side by side.

use std::{
    collections::HashMap,
    sync::{mpsc, Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{configuration, head};
use crate::{
    fleet::{self, Record},
    http,
    store::Store,
};

/// Runners of the model service; three of them are 15 in 100.
const RUNNERS: usize = 20;
/// Runners that are lost.
const LOST: usize = 3;
/// Sessions that ask at the same time.
const SESSIONS: usize = 6;
/// Documents of a session, and their length.
const DOCUMENTS: [&str; 2] = ["91bd3f06", "2f77a0c1"];
const DOCUMENT_TOKENS: u32 = 60_000;
/// Time from one loss to the next one.
const BETWEEN: Duration = Duration::from_millis(220);
/// Time after which the store drops the entry of a runner that is silent: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);
/// `timeout_ms` of the route of the lookups.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after a route's timeout by which a request must have its final answer.
const SLACK: Duration = Duration::from_millis(500);
/// Time for which lookups are watched after the last loss.
const WATCHED: Duration = Duration::from_secs(4);

/// What a lookup got, and when.
struct Lookup {
    sent: Instant,
    took: Option<Duration>,
}

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let folder = fleet::Folder::create();
    let store = Store::open();
    store.put("config", "main", &configuration(7, "desk"));
    let zones = ["erie-side", "huron-side", "michigan-side"];
    let (tx, arrivals) = mpsc::channel();
    let runner = |i: usize| fleet::start_runner(&store, &format!("i-m{i:02}"), "model", zones[i % 3], "model", &tx);
    let mut runners: HashMap<String, fleet::Runner> = (0..RUNNERS).map(runner).map(|r| (r.id.clone(), r)).collect();
    let (desk_tx, _desk) = mpsc::channel();
    let _desk: Vec<fleet::Runner> = (0..3).map(|i| fleet::start_runner(&store, &format!("i-d{i}"), "desk", zones[i], "sound", &desk_tx)).collect();
    let entries = fleet::start_entries(&folder, &store, &zones.map(str::to_owned));
    if !entries.iter().all(fleet::Entry::wait_until_ready) {
        record.say("an entry did not get ready");
        return None;
    }
    thread::sleep(Duration::from_millis(3_500));

    let lookups = Arc::new(Mutex::new(Vec::new()));
    let begin = Instant::now();
    for (i, entry) in entries.iter().enumerate() {
        let (front, record, lookups) = (entry.front, record.clone(), Arc::clone(&lookups));
        thread::spawn(move || {
            for n in 0.. {
                let (record, lookups) = (record.clone(), Arc::clone(&lookups));
                thread::spawn(move || look(front, &format!("look-{i}-{n}"), &record, &lookups));
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));

    // Each session sends the same question about two documents at the same time.
    for session in 0..SESSIONS {
        for document in DOCUMENTS {
            let (front, record) = (entries[0].front, record.clone());
            let id = format!("draft-{session}-{document}");
            let prefix = format!("5c1e07a2:40,{document}:{DOCUMENT_TOKENS},e4402b{session:02x}:600");
            thread::spawn(move || draft(front, &id, &prefix, &record));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let mut at: Vec<Vec<String>> = vec![Vec::new(); SESSIONS];
    for _ in 0..SESSIONS * DOCUMENTS.len() {
        let arrival = arrivals.recv_timeout(Duration::from_secs(3)).ok()?;
        record.line(format!("runner {} reads {} with {}", arrival.runner, arrival.request, arrival.what));
        let session = (0..SESSIONS).find(|session| arrival.request.starts_with(&format!("draft-{session}-")))?;
        at[session].push(arrival.runner);
    }
    // Runners at which both prompts of a session are.
    let mut lost: Vec<String> = at.into_iter().filter(|at| at.windows(2).all(|at| at[0] == at[1])).map(|mut at| at.remove(0)).collect();
    lost.dedup();
    if lost.len() < LOST {
        record.say(format!("both prompts of a session are at {} runners only", lost.len()));
        return None;
    }
    for runner in lost.into_iter().take(LOST) {
        if has_trouble {
            record.line(format!("runner {runner} is lost"));
            runners.get_mut(&runner)?.kill();
            let store = store.clone();
            thread::spawn(move || {
                thread::sleep(EXPIRY);
                store.remove("servers", &runner);
            });
        }
        thread::sleep(BETWEEN);
    }
    let calm_at = Instant::now();
    thread::sleep(WATCHED + TIMEOUT + SLACK);
    for entry in &entries {
        let (memory_mb, cpu_s) = entry.usage();
        record.say(format!("{}: readiness {:?}, memory {memory_mb} MB, processor time {cpu_s:.1} s", entry.name, entry.readiness()));
        for line in entry.log_lines(&["server_crashed", "quarantined", "panicked"]) {
            record.line(format!("{} logs {line}", entry.name));
        }
    }
    let lookups = lookups.lock().unwrap();
    let is_broken = judge(record, &lookups, begin, calm_at);
    drop(lookups);
    Some(is_broken)
}

fn look(front: std::net::SocketAddr, id: &str, record: &Record, lookups: &Mutex<Vec<Lookup>>) {
    let sent = Instant::now();
    let index = {
        let mut lookups = lookups.lock().unwrap();
        lookups.push(Lookup { sent, took: None });
        lookups.len() - 1
    };
    let answer = http::call(front, &head("GET", "/look/2f", id, 4_000, ""), b"", Duration::from_secs(4));
    let took = sent.elapsed();
    match &answer {
        Ok(answer) => {
            lookups.lock().unwrap()[index].took = Some(took);
            record.line(format!("{id}: {} after {} ms", answer.status(), took.as_millis()));
        }
        Err(e) => record.line(format!("{id}: no answer after {} ms: {e}", took.as_millis())),
    }
}

fn draft(front: std::net::SocketAddr, id: &str, prefix: &str, record: &Record) {
    record.line(format!("{id} is sent with {prefix}"));
    let more = format!("Model: m\r\nToken-Usage: {},400\r\nPrompt-Prefix: {prefix}\r\n", DOCUMENT_TOKENS + 640);
    let answer = http::call(front, &head("POST", "/draft/2f", id, 15_000, &more), b"compare", Duration::from_secs(15));
    match answer {
        Ok(answer) => record.line(format!("{id}: {}, {} bytes", answer.status(), answer.body.len())),
        Err(e) => record.line(format!("{id}: no whole answer: {e}")),
    }
}

/// Counts the lookups that were unanswered at their route's timeout and half a second after it.
fn judge(record: &Record, lookups: &[Lookup], begin: Instant, calm_at: Instant) -> bool {
    let count = |from: Instant, until: Instant| {
        let sent: Vec<&Lookup> = lookups.iter().filter(|l| l.sent >= from && l.sent < until).collect();
        let open = |after: Duration| sent.iter().filter(|l| l.took.is_none_or(|took| took > after)).count();
        (sent.len(), open(TIMEOUT), open(TIMEOUT + SLACK))
    };
    let before = count(begin, begin + Duration::from_secs(2));
    let after = count(calm_at, calm_at + WATCHED);
    for (when, (sent, at_timeout, late)) in [("before the first loss", before), ("after the last loss", after)] {
        record.say(format!("lookups {when}: {sent} sent, {at_timeout} unanswered at timeout_ms, {late} half a second later"));
    }
    let (_, at_timeout, late) = after;
    late >= 8 && 2 * late > at_timeout
}
