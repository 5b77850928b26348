//! A thirteenth machine is added to twelve in seven zones; then a route moves to another service.

use std::{
    collections::HashMap,
    net::SocketAddr,
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

const ZONES: usize = 7;
const MACHINES: usize = 12;
/// Time from the addition to the change of the configuration.
const ADDED_FOR: Duration = Duration::from_secs(6);
/// `config_apply_ms` of the deployments.
const APPLICATION: Duration = Duration::from_secs(2);
/// Time for which requests are counted, before the addition and after the change is in force.
const COUNTED: Duration = Duration::from_secs(5);

/// A request: when it was sent and what it got.
struct Sent {
    at: Instant,
    id: String,
    status: u16,
}

type Log = Arc<Mutex<Vec<Sent>>>;

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let folder = fleet::Folder::create();
    let store = Store::open();
    store.put("config", "main", &configuration(7, "desk"));
    let (tx, arrivals) = mpsc::channel();
    let zone = |i: usize| format!("zone-{}", i % ZONES);
    let runner = |i: usize, service: &str| fleet::start_runner(&store, &format!("i-{service}-{i}"), service, &zone(i), "sound", &tx);
    let _old: Vec<fleet::Runner> = (0..ZONES).map(|i| runner(i, "desk")).collect();
    let _new: Vec<fleet::Runner> = (0..ZONES).map(|i| runner(i, "annex")).collect();
    let mut entries = fleet::start_entries(&folder, &store, &(0..MACHINES).map(zone).collect::<Vec<String>>());
    if !entries.iter().all(fleet::Entry::wait_until_ready) {
        record.say("an entry did not get ready");
        return None;
    }
    thread::sleep(Duration::from_millis(3_500));

    let log = Log::default();
    for (i, entry) in entries.iter().enumerate() {
        for route in ["look", "open"] {
            let (front, record, log) = (entry.front, record.clone(), Arc::clone(&log));
            thread::spawn(move || ask(&format!("{route}-{i}"), route, front, &record, &log));
        }
    }
    let begin = Instant::now();
    thread::sleep(COUNTED);
    if has_trouble {
        entries.extend(fleet::add_entry(&folder, &store, &zone(MACHINES), &entries));
        record.line(format!("{} is added", entries[MACHINES].name));
    }
    thread::sleep(ADDED_FOR);
    store.put("config", "main", &configuration(8, "annex"));
    let acknowledged = Instant::now();
    record.line("version 8 is acknowledged: /open/ leads to annex");
    thread::sleep(APPLICATION + COUNTED + Duration::from_secs(1));

    for entry in &entries {
        record.line(format!("{}: readiness {:?}", entry.name, entry.readiness()));
        for line in entry.log_lines(&["panicked", "mid >"]) {
            record.line(format!("{} logs {line}", entry.name));
        }
    }
    let panicked = entries.iter().filter(|entry| !entry.log_lines(&["panicked"]).is_empty()).count();
    record.say(format!("entries with a thread that has panicked: {panicked} of {}", entries.len()));
    let ran_at: HashMap<String, String> = arrivals.try_iter().map(|it| (it.request, it.runner)).collect();
    let log = log.lock().unwrap();
    let from = acknowledged + APPLICATION;
    for (when, since) in [("before the addition", begin), ("from config_apply_ms after version 8", from)] {
        let sent = log.iter().filter(|sent| sent.at >= since && sent.at < since + COUNTED && sent.id.starts_with("look"));
        let statuses: Vec<u16> = sent.map(|sent| sent.status).collect();
        let served = statuses.iter().filter(|status| **status == 200).count();
        record.say(format!("requests with a key {when}: {served} of {} served", statuses.len()));
    }
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for sent in log.iter().filter(|sent| sent.at >= from && sent.at < from + COUNTED && sent.id.starts_with("open")) {
        let runner = ran_at.get(&sent.id).map_or("none", String::as_str);
        record.line(format!("{} of version 8 got {} and ran at {runner}", sent.id, sent.status));
        *counts.entry(runner.trim_end_matches(|c: char| c.is_ascii_digit())).or_default() += 1;
    }
    record.say(format!("public requests from config_apply_ms after version 8, by runner: {counts:?}"));
    Some(counts.get("i-desk-").is_some_and(|count| *count > 0))
}

/// Sends a request each fifth of a second.
fn ask(name: &str, route: &str, front: SocketAddr, record: &Record, log: &Log) {
    for n in 0.. {
        let (at, id) = (Instant::now(), format!("{name}-{n}"));
        let answer = http::call(front, &head("GET", &format!("/{route}/2f"), &id, 1_000, ""), b"", Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("{id}: {status}"));
        log.lock().unwrap().push(Sent { at, id, status });
        thread::sleep(Duration::from_millis(200).saturating_sub(at.elapsed()));
    }
}
