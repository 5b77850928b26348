//! Two machines are stopped and started in turn, while their runners read long prompts beside streams.

use std::{
    net::{SocketAddr, TcpStream},
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use super::{configuration, head};
use crate::{
    fleet::{self, Record},
    http::Connection,
    store::Store,
};

const ZONES: [&str; 3] = ["erie-side", "huron-side", "michigan-side"];
/// Time from the stop of one machine to that of the next one.
const GAP: Duration = Duration::from_secs(1);
/// Time from the first stop to the streams, and to the first long prompt.
const STREAMS_AFTER: Duration = Duration::from_millis(3_100);
const PROMPTS_AFTER: Duration = Duration::from_millis(3_200);
/// Time from one long prompt to the next one.
const PROMPTS_GAP: Duration = Duration::from_millis(200);
/// `grace_s` of the deployments.
const GRACE: Duration = Duration::from_secs(8);
const STREAMS: usize = 3;
const PROMPTS: usize = 6;

pub fn play(record: &Record, has_trouble: bool) -> Option<bool> {
    let folder = fleet::Folder::create();
    let store = Store::open();
    store.put("config", "main", &configuration(7, "desk"));
    let (tx, arrivals) = mpsc::channel();
    let model = |zone: &&str| fleet::start_runner(&store, &format!("i-m-{zone}"), "model", zone, "model", &tx);
    let desk = |zone: &&str| fleet::start_runner(&store, &format!("i-d-{zone}"), "desk", zone, "sound", &tx);
    let _models: Vec<fleet::Runner> = ZONES.iter().map(model).collect();
    let _desks: Vec<fleet::Runner> = ZONES.iter().map(desk).collect();
    let mut entries = fleet::start_entries(&folder, &store, &ZONES[..2].iter().map(|zone| (*zone).to_owned()).collect::<Vec<String>>());
    if !entries.iter().all(fleet::Entry::wait_until_ready) {
        record.say("an entry did not get ready");
        return None;
    }
    thread::sleep(Duration::from_millis(3_500));

    let connect = |i: usize, name: &str| Client::connect(entries[i].front, name);
    let streams: Option<Vec<Client>> = (0..STREAMS).map(|n| connect(0, &format!("note-{n}"))).collect();
    let prompts: Option<Vec<Client>> = (0..PROMPTS).map(|n| connect(1, &format!("draft-{n}"))).collect();
    let stopped_at = Instant::now();
    let mut asking = Vec::new();
    for (n, client) in streams?.into_iter().enumerate() {
        let more = format!("Model: m\r\nToken-Usage: 2000,2500\r\nPrompt-Prefix: 5c1e07a2:40,a1{n:02x}:1960\r\n");
        asking.push(client.ask_at(stopped_at + STREAMS_AFTER, "note", 10_000, &more, record));
    }
    for (n, client) in prompts?.into_iter().enumerate() {
        let more = format!("Model: m\r\nToken-Usage: 120000,92\r\nPrompt-Prefix: 5c1e07a2:40,b2{n:02x}:119960\r\n");
        asking.push(client.ask_at(stopped_at + PROMPTS_AFTER + PROMPTS_GAP * n as u32, "draft", 15_000, &more, record));
    }
    if has_trouble {
        for entry in &entries {
            record.line(format!("{} gets SIGTERM", entry.name));
            entry.signal("TERM");
            thread::sleep(GAP);
        }
        for (i, entry) in entries.iter_mut().enumerate() {
            let at = stopped_at + GAP * i as u32 + GRACE + Duration::from_millis(100);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            entry.start();
            record.line(format!("{} is started again", entry.name));
        }
    }
    let mut cut = 0;
    let mut whole = 0;
    for thread in asking {
        let (name, answer) = thread.join().ok()?;
        match (answer, name.starts_with("note")) {
            (None, true) => cut += 1,
            (Some(200), true) => whole += 1,
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
    record.say(format!("streams sent 3.1 s after SIGTERM: {STREAMS}, of which {whole} were whole and {cut} were cut"));
    Some(cut > 0)
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
