//! A machine that stands still while a peer's answer is on its way accepts a key that was taken away.

use std::{
    fs,
    io::{BufReader, Write},
    net::{SocketAddrV4, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    entry::{self, Entry, Machine},
    runner::{Request, Runner},
    store::Store,
    Outcome, Setting,
};

/// Machines of a small deployment.
const MACHINES: usize = 7;
/// Routes that the configuration has grown by.
const ROUTES: usize = 1_400;
/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time for which the machine stands still.
const FREEZE: Duration = Duration::from_millis(4_900);
/// Time between configurations.
const STORM_GAP: Duration = Duration::from_millis(330);
/// Time for which configurations come in quick succession.
const STORM: Duration = Duration::from_millis(4_000);
/// Time after the freeze for which clients send.
const PROBE: Duration = Duration::from_millis(1_000);
/// Time for which trials begin.
const TRIALS: Duration = Duration::from_millis(60_000);
/// Bytes by which an answer with a configuration is told from others.
const UNREAD_BYTES: usize = 32 * 1024;
/// Time between two requests of the client.
const SEND_GAP: Duration = Duration::from_millis(5);

/// The operator, who writes configurations.
struct Operator {
    store: Store,
    version: Mutex<u64>,
    gone: Mutex<Vec<String>>,
    routes: String,
}

fn key(n: usize) -> String {
    format!("key{n:04}abcdefghijklmnop")
}

impl Operator {
    /// Writes the next version; returns when it was acknowledged.
    fn write(&self) -> Instant {
        let mut version = self.version.lock().unwrap();
        *version += 3;
        let gone = self.gone.lock().unwrap();
        let tenants: Vec<String> = (0..40)
            .filter(|n| !gone.contains(&key(*n)))
            .map(|n| format!("{{\"name\":\"tenant{n}\",\"api_keys\":[\"{}\"]}}", key(n)))
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{},\"tenants\":[{}]}}",
            self.routes,
            "{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":344,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}",
            "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}",
            tenants.join(",")
        );
        self.store.put("config", "main", &text)
    }
}

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"{prefix}\",\"route_type\":\"non_idempotent\",\
         \"timeout_ms\":1000,\"target_latency_ms\":100,\"priority\":2,\"service\":\"desk\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}"
    )
}

/// Sends a request on a new connection; returns the status, or none if there is no answer.
fn ask(front: &str, id: &str, key: &str) -> Option<String> {
    let mut connection = TcpStream::connect(front).ok()?;
    connection
        .set_read_timeout(Some(Duration::from_secs(2)))
        .ok()?;
    let request = format!(
        "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Api-Key: {key}\r\nContent-Length: 2\r\n\r\nhi"
    );
    connection.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(connection);
    let mut line = String::new();
    std::io::BufRead::read_line(&mut reader, &mut line).ok()?;
    Request::read(&mut reader)?;
    Some(line.split_whitespace().nth(1)?.to_owned())
}

/// Waits until an answer of a peer lies in a socket of a machine that has asked for it; returns false if
/// none does in time. Only the machine that the store turns away asks its peers for configurations.
fn wait_for_answer(peers: &[String]) -> bool {
    let since = Instant::now();
    let peers: Vec<String> = peers.iter().map(|peer| kernel_address(peer)).collect();
    while since.elapsed() < Duration::from_millis(1_000) {
        let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let is_unread = |line: &str| -> Option<bool> {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let is_link = peers.iter().any(|peer| peer == fields[2]);
            let unread = fields.get(4)?.split_once(':')?.1;
            Some(is_link && usize::from_str_radix(unread, 16).ok()? >= UNREAD_BYTES)
        };
        if sockets.lines().skip(1).any(|line| is_unread(line) == Some(true)) {
            return true;
        }
    }
    false
}

/// Returns an address in the form of the kernel's list of sockets.
fn kernel_address(address: &str) -> String {
    let address: SocketAddrV4 = address.parse().unwrap();
    let ip = u32::from_le_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// Waits until a machine accepts a key, as it does within seconds of the store's return.
fn is_accepted(front: &str, trial: usize, key: &str) -> bool {
    let since = Instant::now();
    for n in 0.. {
        let id = format!("good-{trial}-{n}");
        if ask(front, &id, key).as_deref() == Some("200") {
            return true;
        }
        if since.elapsed() >= Duration::from_secs(5) {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

pub fn run(setting: &Setting<'_>) -> Outcome {
    let store = Store::new();
    let (door, other_door) = (store.open(), store.open());
    let runner = Runner::start("i-desk-1");
    store.put(
        "servers",
        "i-desk-1",
        &format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"erie-side\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1700000000000}}",
            runner.address
        ),
    );
    let mut routes = vec![route("book", "/book/")];
    routes.extend((0..ROUTES).map(|n| route(&format!("r-{n:06}"), &format!("/grown{n:06}/"))));
    let operator = Arc::new(Operator {
        store: store.clone(),
        version: Mutex::new(1),
        gone: Mutex::default(),
        routes: routes.join(","),
    });
    operator.write();
    let mut entries: Vec<Entry> = Vec::new();
    for n in 0..MACHINES {
        let seeds: Vec<String> = entries.iter().take(1).map(|it| it.peers.clone()).collect();
        let entry = Entry::start(
            setting.folder,
            &Machine {
                name: &format!("edge-{n}"),
                zone: ["erie-side", "huron-side", "michigan-side"][n % 3],
                ip: &entry::ip(n),
                store: if n == 0 { &other_door.address } else { &door.address },
                seeds: &seeds,
            },
        );
        entries.push(entry);
    }
    if !entries.iter().all(Entry::wait_until_ready) {
        return Outcome::NotRun("the entries are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let victim = &entries[0];
    let peers: Vec<String> = entries.iter().map(|it| it.peers.clone()).collect();
    let started = Instant::now();
    let mut trial = 0;
    while started.elapsed() < TRIALS {
        trial += 1;
        let revoked = key(trial);
        setting.record.add(&format!("good-{trial}-N with {revoked} are sent until one is answered 200"));
        if !is_accepted(&victim.front, trial, &revoked) {
            return Outcome::NotRun(format!("trial {trial}: the key is not accepted before"));
        }
        if setting.has_trouble {
            setting.record.add("the store turns edge-0 away");
            other_door.refuse(true);
        }
        thread::sleep(Duration::from_millis(300));
        let is_over = Arc::new(AtomicBool::new(false));
        let storm = {
            let (operator, is_over) = (operator.clone(), is_over.clone());
            thread::spawn(move || {
                let since = Instant::now();
                while since.elapsed() < STORM && !is_over.load(Ordering::SeqCst) {
                    operator.write();
                    thread::sleep(STORM_GAP);
                }
            })
        };
        thread::sleep(Duration::from_millis(1_000));
        if !wait_for_answer(&peers) {
            setting.record.add("no answer of a peer was seen on its way");
        }
        let frozen_at = Instant::now();
        if setting.has_trouble {
            victim.freeze();
            setting.record.add_at(frozen_at, "edge-0 is stopped");
        }
        operator.gone.lock().unwrap().push(revoked.clone());
        let acknowledged = operator.write();
        setting
            .record
            .add_at(acknowledged, &format!("{revoked} is taken away"));
        is_over.store(true, Ordering::SeqCst);
        storm.join().unwrap();
        thread::sleep(FREEZE.saturating_sub(frozen_at.elapsed()));
        if setting.has_trouble {
            victim.thaw();
            setting.record.add("edge-0 goes on");
        }
        thread::sleep((REVOKE + Duration::from_millis(2)).saturating_sub(acknowledged.elapsed()));
        let probing = Instant::now();
        let mut clients = Vec::new();
        for n in 0.. {
            if probing.elapsed() >= PROBE {
                break;
            }
            let (front, id, key) = (
                victim.front.clone(),
                format!("late-{trial}-{n}"),
                revoked.clone(),
            );
            clients.push(thread::spawn(move || {
                let sent = Instant::now();
                let status = ask(&front, &id, &key);
                (id, sent, Instant::now(), status)
            }));
            thread::sleep(SEND_GAP);
        }
        if setting.has_trouble {
            other_door.refuse(false);
            setting.record.add("the store serves edge-0 again");
        }
        let mut statuses = std::collections::BTreeMap::<String, usize>::new();
        let mut late = 0;
        for client in clients {
            let (id, sent, answered, status) = client.join().unwrap();
            let status = status.unwrap_or_else(|| "none".to_owned());
            *statuses.entry(status.clone()).or_default() += 1;
            let after = sent - acknowledged;
            let line = format!("{id} with {revoked} is sent, {:.3} s after it was taken away", after.as_secs_f64());
            setting.record.add_at(sent, &line);
            setting.record.add_at(answered, &format!("{id} is answered {status}"));
            let runs = runner.runs.lock().unwrap();
            let Some(run) = runs.iter().find(|run| run.id == id) else {
                continue;
            };
            setting.record.add_at(run.at, &format!("{id} runs for {}", run.tenant));
            if after > REVOKE {
                late += 1;
            }
        }
        setting
            .record
            .add(&format!("trial {trial}: answers {statuses:?}, {late} have run"));
        eprintln!("trial {trial}: answers {statuses:?}, {late} have run");
        if late > 0 {
            return Outcome::Broken;
        }
    }
    Outcome::Held
}
