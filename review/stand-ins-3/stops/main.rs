//! A machine that was started again places long prompts beside a stream of one that is being stopped.
//!
//! `stops RECORD` plays the case from the root of the repository and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. `stops runner KIND ID` is one runner. The runners, the
//! store and the processes are those of the second review.

use std::{
    env, net::{SocketAddr, TcpStream}, panic, path::Path, process, sync::mpsc, thread,
    time::{Duration, Instant},
};

#[path = "../../stand-ins-2/engine.rs"]
#[allow(dead_code)]
mod engine;
#[path = "../../stand-ins-2/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "../../stand-ins-2/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "../../stand-ins-2/runner.rs"]
#[allow(dead_code)]
mod runner;
#[path = "../../stand-ins-2/store.rs"]
#[allow(dead_code)]
mod store;

use fleet::Record;
use http::Connection;
use store::Store;

/// Longest time of the case; if it takes longer it could not run.
const MAX_TIME: Duration = Duration::from_secs(110);

const ZONES: [&str; 3] = ["erie-side", "huron-side", "michigan-side"];
/// Time from the stop of the one machine to that of the other one.
const GAP: Duration = Duration::from_secs(1);
/// Time for which a client keeps its connection to the machine that is stopped first, from the second stop.
const KEPT_FOR: Duration = Duration::from_millis(4_900);
/// Time after its end after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Times from the second stop to the streams, and to the long prompts at either machine.
const STREAMS_AFTER: Duration = Duration::from_millis(3_100);
const OWN_PROMPTS_AFTER: Duration = Duration::from_millis(3_150);
const OTHER_PROMPTS_AFTER: Duration = Duration::from_millis(5_300);
/// Time from one long prompt to the next one.
const PROMPTS_GAP: Duration = Duration::from_millis(50);
const STREAMS: usize = 3;
const PROMPTS: usize = 9;
/// Tokens of the prompts at either machine.
const OWN_TOKENS: u64 = 120_000;
const OTHER_TOKENS: u64 = 210_000;

fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let folder = fleet::Folder::create();
    let store = Store::open();
    store.put("config", "main", &configuration(7, "desk"));
    let (tx, arrivals) = mpsc::channel();
    let model = |zone: &&str| fleet::start_runner(&store, &format!("i-m-{zone}"), "model", zone, "model", &tx);
    let desk = |zone: &&str| fleet::start_runner(&store, &format!("i-d-{zone}"), "desk", zone, "sound", &tx);
    let _models: Vec<fleet::Runner> = ZONES.iter().map(model).collect();
    let _desks: Vec<fleet::Runner> = ZONES.iter().map(desk).collect();
    let zones: Vec<String> = ZONES[..2].iter().map(|zone| (*zone).to_owned()).collect();
    let mut entries = fleet::start_entries(&folder, &store, &zones);
    if !entries.iter().all(fleet::Entry::wait_until_ready) {
        record.say("an entry did not get ready");
        return None;
    }
    thread::sleep(Duration::from_millis(3_500));

    let streams: Option<Vec<Client>> = (0..STREAMS).map(|n| Client::connect(entries[0].front, &format!("note-{n}"))).collect();
    let own: Option<Vec<Client>> = (0..PROMPTS).map(|n| Client::connect(entries[0].front, &format!("draft-own-{n}"))).collect();
    let kept = Client::connect(entries[1].front, "kept")?;
    if has_trouble {
        record.line(format!("{} gets SIGTERM", entries[1].name));
        terminate(&entries[1]);
    }
    thread::sleep(GAP);
    let stopped_at = Instant::now();
    if has_trouble {
        record.line(format!("{} gets SIGTERM", entries[0].name));
        terminate(&entries[0]);
    }
    let mut asking = Vec::new();
    let prompt = |n: usize, whose: &str| {
        let (part, tokens) = if whose == "own" { (0xb2, OWN_TOKENS) } else { (0xc3, OTHER_TOKENS) };
        format!("Model: m\r\nToken-Usage: {tokens},92\r\nPrompt-Prefix: 5c1e07a2:40,{part:x}{n:02x}:{}\r\n", tokens - 40)
    };
    for (n, client) in streams?.into_iter().enumerate() {
        let more = format!("Model: m\r\nToken-Usage: 2000,2500\r\nPrompt-Prefix: 5c1e07a2:40,a1{n:02x}:1960\r\n");
        asking.push(client.ask_at(stopped_at + STREAMS_AFTER, "note", 10_000, &more, record));
    }
    for (n, client) in own?.into_iter().enumerate() {
        let at = stopped_at + OWN_PROMPTS_AFTER + PROMPTS_GAP * n as u32;
        asking.push(client.ask_at(at, "draft", 15_000, &prompt(n, "own"), record));
    }
    thread::sleep((stopped_at + KEPT_FOR).saturating_duration_since(Instant::now()));
    drop(kept);
    if has_trouble {
        let until = Instant::now() + Duration::from_secs(4);
        while Instant::now() < until && !has_ended(entries[1].pid()) {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(format!("{} has ended", entries[1].name));
        thread::sleep(RESTART_DELAY);
        entries[1].start();
        record.line(format!("{} is started again", entries[1].name));
        if !entries[1].wait_until_ready() {
            return None;
        }
        record.line(format!("{} is ready", entries[1].name));
    }
    thread::sleep((stopped_at + OTHER_PROMPTS_AFTER).saturating_duration_since(Instant::now()));
    record.line(format!("{:.2} s after the second stop, clients turn to {}", stopped_at.elapsed().as_secs_f64(), entries[1].name));
    for n in 0..PROMPTS {
        let client = Client::connect(entries[1].front, &format!("draft-other-{n}"))?;
        asking.push(client.ask_at(Instant::now(), "draft", 15_000, &prompt(n, "other"), record));
        thread::sleep(PROMPTS_GAP);
    }
    let (mut cut, mut whole, mut refused) = (0, 0, 0);
    for thread in asking {
        let (name, answer) = thread.join().ok()?;
        match (answer, name.starts_with("note")) {
            (None, true) => cut += 1,
            (Some(200), true) => whole += 1,
            (Some(_), true) => refused += 1,
            _ => {}
        }
    }
    for arrival in arrivals.try_iter() {
        record.line(format!("runner {}: {} {}", arrival.runner, arrival.request, arrival.what));
    }
    for entry in &entries {
        for line in entry.log_lines(&["forward_cut", "forwarding_stopped", "drain_began"]) {
            record.line(format!("{} logs {line}", entry.name));
        }
    }
    record.say(format!("streams sent 3.1 s after SIGTERM: {STREAMS}, of which {whole} were whole, {refused} refused and {cut} cut"));
    Some(cut > 0)
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends SIGTERM to an entry, which this program has started.
fn terminate(entry: &fleet::Entry) {
    const SIGTERM: i32 = 15;
    // SAFETY: the call has no memory to corrupt.
    unsafe { kill(i32::try_from(entry.pid()).unwrap(), SIGTERM) };
}

/// Returns whether a child has ended; it stays in the list of processes until it is waited for.
fn has_ended(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let state = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().next().map(str::to_owned));
    state.is_none_or(|state| state == "Z")
}

/// A client on a connection that it keeps.
struct Client {
    name: String,
    connection: Connection,
}

impl Client {
    /// Connects and sends a first request, so that the connection is a kept one.
    fn connect(front: SocketAddr, name: &str) -> Option<Self> {
        let mut connection = Connection::new(TcpStream::connect(front).ok()?);
        let first = head("GET", "/look/2f", &format!("first-{name}"), 1_000, "").replace("Connection: close\r\n", "");
        connection.send(&format!("{first}\r\n")).ok()?;
        let answer = connection.read().ok()??;
        (answer.status() == 200).then(|| Self { name: name.to_owned(), connection })
    }

    /// Sends a prompt at a time; the thread returns the status of a whole answer.
    fn ask_at(mut self, at: Instant, route: &str, deadline_ms: u32, more: &str, record: &Record) -> thread::JoinHandle<(String, Option<u16>)> {
        let more = format!("{more}Content-Length: 4\r\n");
        let request = head("POST", &format!("/{route}/2f"), &self.name, deadline_ms, &more).replace("Connection: close\r\n", "");
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            record.line(format!("{} is sent", self.name));
            let sent = Instant::now();
            let answer = self.connection.send(&format!("{request}\r\nread")).and_then(|()| self.connection.read());
            let took = sent.elapsed().as_millis();
            let status = match answer {
                Ok(Some(answer)) => {
                    let text = String::from_utf8_lossy(&answer.body);
                    let events = text.matches("id: ").count();
                    record.line(format!("{}: {} after {took} ms, {events} events", self.name, answer.status()));
                    Some(answer.status())
                }
                Ok(None) => {
                    record.line(format!("{}: closed without an answer after {took} ms", self.name));
                    None
                }
                Err(e) => {
                    record.line(format!("{}: broken off after {took} ms: {e}", self.name));
                    None
                }
            };
            (self.name, status)
        })
    }
}

/// Returns a configuration with a model service, an application and routes to them. The route `/open/`,
/// which needs no key, leads to `open_service`.
fn configuration(version: u64, open_service: &str) -> String {
    let route = |path: &str, kind: &str, timeout: u32, aim: u32, service: &str, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"r-{path}\",\"host\":\"shed.example\",\"path_prefix\":\"/{path}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":{aim},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{attempts},\"public\":{}{more}}}",
            path == "open"
        )
    };
    let routes = [
        route("draft", "streaming", 15_000, 3_000, "model", 2, ",\"resumable\":true,\"sticky\":true,\"gap_aim_ms\":800"),
        route("note", "streaming", 10_000, 300, "model", 2, ",\"resumable\":true,\"sticky\":true,\"gap_aim_ms\":200"),
        route("book", "non_idempotent", 1_000, 100, "desk", 1, ""),
        route("look", "idempotent", 1_000, 100, "desk", 2, ""),
        route("open", "idempotent", 1_000, 100, open_service, 2, ""),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"model\",\"health_path\":\"/healthz\",\
         \"max_connections\":344,\"engine\":{{\"slots\":16,\"kv_capacity_tokens\":450000,\"stride\":46,\"step_ms\":0.925,\
         \"per_seq_ms\":0.00483,\"context_per_k\":0.00254,\"read_per_s\":256000,\"pairs_per_m\":0.0917,\"chunk\":2048,\
         \"usual\":{{\"prompt\":18000,\"answer\":1500}}}}}},{{\"name\":\"desk\",\"health_path\":\"/healthz\",\
         \"max_connections\":49}},{{\"name\":\"annex\",\"health_path\":\"/healthz\",\"max_connections\":49}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"marina\",\
         \"api_keys\":[\"key-1\"]}}]}}",
        routes.join(",")
    )
}

/// Returns the head of a client's request, without the empty line.
fn head(method: &str, path: &str, id: &str, deadline_ms: u32, more: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shed.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Api-Key: key-1\r\nConnection: close\r\n{more}"
    )
}

fn main() {
    let args: Vec<String> = env::args().skip(1).collect();
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match args.iter().map(String::as_str).collect::<Vec<&str>>()[..] {
        ["runner", kind, id] => runner::run(kind, id),
        [record] => {
            let record = Record::create(Path::new(record));
            let (tx, rx) = mpsc::channel();
            thread::spawn(move || {
                let outcome = panic::catch_unwind(|| play(&record, has_trouble));
                let _ = tx.send(outcome.ok().flatten());
            });
            let code = rx.recv_timeout(MAX_TIME).ok().flatten();
            fleet::end_all();
            process::exit(code.map_or(2, |is_broken| if is_broken { 1 } else { 0 }));
        }
        _ => {
            eprintln!("usage: stops RECORD | stops runner KIND ID");
            process::exit(2);
        }
    }
}
