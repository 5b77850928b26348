//! Test rig of the review: a loopback deployment with stand-ins for backend servers and clients, a
//! proxy before the platform's store, and the project's own entry and platform programs.
//!
//! Only the standard library is used, so that `rustc` alone builds it. `rig CASE RECORD` runs a case;
//! `TROUBLE=0` in the environment leaves the disruption out. Exit status: 0 the rule held, 1 it was
//! broken, 2 the case could not run.

use std::{
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod cases;

/// Host of all routes.
pub const HOST: &str = "shed.example";
/// Key of the only tenant.
pub const KEY: &str = "key-1";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Record of a run: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl Into<String>) -> f64 {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
        at
    }

    fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let lines: Vec<String> = lines
            .iter()
            .map(|(at, text)| format!("{at:8.3} s  {text}\n"))
            .collect();
        fs::write(path, lines.concat())
    }
}

/// Head and body of a message.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let mut words = self.first.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; none at the end of the connection.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    if message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(io::Error::other)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends a request on a connection of its own and reads the whole response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, ms(1_000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes())?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The project's platform stand-in.
pub struct Store {
    pub address: SocketAddr,
    _child: Guard,
}

/// Processes that the rig has started.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A child process, which is killed when dropped.
pub struct Guard(pub Child);

impl Guard {
    fn new(child: Child) -> Self {
        CHILDREN.lock().unwrap().push(child.id());
        Self(child)
    }
}

/// Sends a signal by the shell, as not every machine has a program for it.
fn send_signal(signal: &str, id: u32) {
    let order = format!("kill {signal} {id}");
    drop(Command::new("sh").args(["-c", &order]).status());
}

fn kill_children() {
    for id in CHILDREN.lock().unwrap().iter() {
        send_signal("-KILL", *id);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        CHILDREN.lock().unwrap().retain(|id| *id != self.0.id());
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

impl Store {
    pub fn spawn(root: &str) -> io::Result<Self> {
        let mut child = Command::new(format!("{root}/target/release/examples/platform"))
            .args(["--listen", "127.0.0.1:0"])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take().expect("piped");
        let child = Guard::new(child);
        let mut line = String::new();
        let mut reader = BufReader::new(stdout);
        reader.read_line(&mut line)?;
        thread::spawn(move || drop(io::copy(&mut reader, &mut io::sink())));
        let address = line.trim().strip_prefix("LISTENING ").unwrap_or_default();
        Ok(Self {
            address: address.parse().map_err(io::Error::other)?,
            _child: child,
        })
    }

    /// Writes an object, as the operator or a server does; returns when the store has accepted it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let body = format!(r#"{{"metadata":{{"name":"{name}"}},"spec":{spec}}}"#);
        let json = [("Content-Type", "application/json".to_owned())];
        let kind_path = format!("/api/objects/{kind}");
        let res = call(self.address, "POST", &kind_path, &json, &body, ms(5_000)).expect("store");
        if res.status() == 409 {
            let path = format!("{kind_path}/{name}");
            let res = call(self.address, "PUT", &path, &json, &body, ms(5_000)).expect("store");
            assert_eq!(res.status(), 200);
        }
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let path = format!("/api/objects/{kind}/{name}");
        let res = call(self.address, "DELETE", &path, &[], "", ms(5_000)).expect("store");
        assert!(res.status() == 200 || res.status() == 404);
    }

    /// Sets the stand-in's faults.
    pub fn faults(&self, json: &str) {
        let headers = [("Content-Type", "application/json".to_owned())];
        let res = call(
            self.address,
            "PUT",
            "/admin/faults",
            &headers,
            json,
            ms(5_000),
        );
        assert_eq!(res.expect("store").status(), 200);
    }
}

/// A TCP proxy whose open connections can go silent for good, while new ones work.
pub struct Proxy {
    pub address: SocketAddr,
    silenced: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
}

impl Proxy {
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let silenced = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let (s, o) = (silenced.clone(), opened.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = o.fetch_add(1, Ordering::SeqCst) + 1;
                let silenced = s.clone();
                thread::spawn(move || drop(proxied(stream, to, number, silenced)));
            }
        });
        Ok(Self {
            address,
            silenced,
            opened,
        })
    }

    /// Passes nothing more on, in either direction, on the connections that are open now.
    pub fn silence_open_connections(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silenced.store(opened, Ordering::SeqCst);
        opened
    }
}

fn proxied(
    client: TcpStream,
    to: SocketAddr,
    number: u64,
    silenced: Arc<AtomicU64>,
) -> io::Result<()> {
    let server = TcpStream::connect(to)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client2, server2) = (client.try_clone()?, server.try_clone()?);
    let silenced2 = silenced.clone();
    thread::spawn(move || pump(client2, server2, number, silenced2));
    pump(server, client, number, silenced);
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, number: u64, silenced: Arc<AtomicU64>) {
    let mut buf = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buf);
        if silenced.load(Ordering::SeqCst) >= number {
            // Holds both ends open and says nothing, whatever happens to the other one.
            loop {
                thread::sleep(ms(1_000));
            }
        }
        match read {
            Ok(0) | Err(_) => {
                drop(to.shutdown(Shutdown::Write));
                return;
            }
            Ok(len) => {
                if to.write_all(&buf[..len]).is_err() {
                    drop(from.shutdown(Shutdown::Both));
                    return;
                }
            }
        }
    }
}

/// What became of a request at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub server: String,
    pub id: String,
    /// Local address of the machine that sent it.
    pub from: String,
    /// Whether the server turned it away without running it.
    pub is_rejected: bool,
    /// Value of `Tenant`, if there is one.
    pub tenant: Option<String>,
}

/// A backend server: runs requests after `work`, checks `Expect-Instance`.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub shared: Arc<Shared>,
}

pub struct Shared {
    id: String,
    record: Record,
    work: Mutex<Duration>,
    pub leaving: AtomicBool,
    exited: AtomicBool,
    /// Factor by which it is slower than its service's engine, in thousandths.
    pace_milli: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    /// Starts a server on `address` (port 0: any).
    pub fn bind(
        id: &str,
        address: SocketAddr,
        work: Duration,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            record: record.clone(),
            work: Mutex::new(work),
            leaving: AtomicBool::new(false),
            exited: AtomicBool::new(false),
            pace_milli: AtomicU64::new(1_000),
            open: Mutex::default(),
            arrivals: arrivals.clone(),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            while !accepting.exited.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let shared = accepting.clone();
                        if let Ok(copy) = stream.try_clone() {
                            shared.open.lock().unwrap().push(copy);
                        }
                        thread::spawn(move || drop(serve(stream, shared)));
                    }
                    Err(_) => thread::sleep(ms(1)),
                }
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            shared,
        })
    }

    /// Says in all answers from now on that the server leaves.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    /// Ends the server: its port closes and its connections break.
    pub fn exit(&self) {
        self.shared.exit();
    }

    /// Sets how much slower it is than its service's engine, as its reports say.
    pub fn set_pace(&self, pace: f64) {
        let milli = (pace * 1_000.0) as u64;
        self.shared.pace_milli.store(milli, Ordering::SeqCst);
    }

    pub fn registration(
        &self,
        service: &str,
        zone: &str,
        state: &str,
        cold_left_ms: u64,
    ) -> String {
        registration(service, self.address, zone, state, cold_left_ms, 0)
    }
}

/// Returns a server's entry in the store.
pub fn registration(
    service: &str,
    address: SocketAddr,
    zone: &str,
    state: &str,
    cold_left_ms: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":16,"state":"{state}","cold_left_ms":{cold_left_ms},"seq":1,"born":{}}}"#,
        1_760_000_000_000 + born
    )
}

impl Shared {
    fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn pace(&self) -> f64 {
        self.pace_milli.load(Ordering::SeqCst) as f64 / 1_000.0
    }
}

fn serve(stream: TcpStream, shared: Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_nonblocking(false)?;
    let from = stream.peer_addr()?.ip().to_string();
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(req) = read_message(&mut reader, false)? {
        let path = req.first.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = req.header("request-id").unwrap_or_default().to_owned();
        let mut headers = String::new();
        if shared.leaving.load(Ordering::SeqCst) {
            headers += "Server-Leaving: 1\r\nConnection: close\r\n";
        }
        if path == "/healthz" {
            headers += &format!("Instance-Id: {}\r\n", shared.id);
            let status = if shared.leaving.load(Ordering::SeqCst) {
                503
            } else {
                200
            };
            respond(&mut stream, status, &headers, "")?;
            continue;
        }
        if path == "/api/report" {
            let body = format!(
                r#"{{"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":1,"queued":0,"running":0,"kv_used":0,"kv_total":450000,"handles":0,"pace":{}}}"#,
                shared.pace()
            );
            respond(&mut stream, 200, &headers, &body)?;
            continue;
        }
        headers += &format!("Request-Id: {id}\r\n");
        let expected = req.header("expect-instance").unwrap_or(&shared.id);
        let is_misdirected = expected != shared.id;
        let is_rejected = is_misdirected;
        let at = shared.record.line(format!(
            "request {id} reaches server {} from {from}, Tenant: {:?}{}",
            shared.id,
            req.header("tenant"),
            if is_rejected { ", turned away" } else { "" }
        ));
        shared.arrivals.lock().unwrap().push(Arrival {
            at,
            server: shared.id.clone(),
            id: id.clone(),
            from: from.clone(),
            is_rejected,
            tenant: req.header("tenant").map(str::to_owned),
        });
        if is_misdirected {
            headers += "Not-Executed: 1\r\n";
            respond(&mut stream, 421, &headers, "")?;
            continue;
        }
        if let Some(tokens) = output_tokens(&req) {
            headers += "Server-Stamp: 3e1b.07\r\n";
            stream_events(&mut stream, &shared, &headers, &id, tokens)?;
            continue;
        }
        let work = *shared.work.lock().unwrap();
        thread::sleep(work);
        if shared.exited.load(Ordering::SeqCst) {
            shared
                .record
                .line(format!("server {} ended during request {id}", shared.id));
            return Ok(());
        }
        headers += "Server-Stamp: 3e1b.07\r\n";
        respond(
            &mut stream,
            200,
            &headers,
            &format!("{id} done by {}", shared.id),
        )?;
        shared
            .record
            .line(format!("server {} has answered request {id}", shared.id));
    }
    Ok(())
}

/// Tokens in one event of a stream.
const EVENT_TOKENS: u64 = 46;
/// Time of a step of the engine, in milliseconds.
const STEP_MS: f64 = 0.925;

/// Returns the number of tokens that a request for a stream asks for.
fn output_tokens(req: &Message) -> Option<u64> {
    let (_, output) = req.header("token-usage")?.split_once(',')?;
    output.trim().parse().ok()
}

/// Sends events at the engine's pace.
fn stream_events(
    stream: &mut TcpStream,
    shared: &Shared,
    headers: &str,
    id: &str,
    tokens: u64,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let events = tokens.div_ceil(EVENT_TOKENS);
    let gap = Duration::from_secs_f64(EVENT_TOKENS as f64 * STEP_MS * shared.pace() / 1_000.0);
    for number in 1..=events {
        thread::sleep(gap);
        let event = format!("id: {number}\ndata: piece {number} of {events} of {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if let Err(e) = stream.write_all(chunk.as_bytes()) {
            shared.record.line(format!(
                "server {} is cut off from the stream of {id} at event {number} of {events}: {e}",
                shared.id
            ));
            return Err(e);
        }
    }
    stream.write_all(b"0\r\n\r\n")?;
    shared.record.line(format!(
        "server {} has sent all {events} events of {id}",
        shared.id
    ));
    Ok(())
}

fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes())
}

/// An entry process.
pub struct Entry {
    pub name: String,
    pub ip: String,
    pub file: PathBuf,
    pub log: PathBuf,
    pub child: Guard,
}

impl Entry {
    /// Starts the program of the deploy file, with settings like those of a small deployment.
    pub fn spawn(
        root: &str,
        dir: &str,
        index: usize,
        zone: &str,
        platform: SocketAddr,
    ) -> io::Result<Self> {
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = format!("127.{}.{}.{}", high.max(1), low, index + 10);
        let name = format!("edge-{zone}-{index}");
        let file = PathBuf::from(format!("{dir}/{name}.toml"));
        let log = PathBuf::from(format!("{dir}/{name}.log"));
        fs::write(&file, settings(&name, &ip, zone, platform))?;
        let child = spawn_entry(root, &file, &log)?;
        Ok(Self {
            name,
            ip,
            file,
            log,
            child: Guard::new(child),
        })
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:8227", self.ip).parse().expect("address")
    }

    pub fn is_ready(&self) -> bool {
        let ready = format!("{}:8220", self.ip).parse().expect("address");
        let res = call(ready, "GET", "/api/readyz", &[], "", ms(500));
        res.is_ok_and(|res| res.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let since = Instant::now();
        while since.elapsed() < ms(15_000) {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    /// Waits for the process to end; kills it at `until` and returns false.
    pub fn wait_exit(&mut self, record: &Record, until: f64) -> bool {
        while record.now() < until {
            if matches!(self.child.0.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(ms(5));
        }
        drop(self.child.0.kill());
        drop(self.child.0.wait());
        false
    }

    pub fn signal(&self, signal: &str) {
        send_signal(signal, self.child.0.id());
    }
}

fn spawn_entry(root: &str, file: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let log = fs::File::create(log)?;
    Command::new("target/release/mustardshedd")
        .arg("--forwarding")
        .current_dir(root)
        .env("MUSTARDSHED_CONFIG", file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Settings with the bounds of the small sites.
fn settings(name: &str, ip: &str, zone: &str, platform: SocketAddr) -> String {
    format!(
        r#"vm = "{name}"
data_centre = "{zone}"
processor = 0.25
front = "{ip}:8227"
ready = "{ip}:8220"
directory = "{ip}:8224"
peers = "{ip}:8229"
seeds = []
platform = "{platform}"
metrics = "{ip}:9464"
server_heartbeat_ms = 1200

[bounds]
fail_closed = true
application_ms = 2000
revocation_ms = 5000
retry_ratio = 0.2
retry_allowance = 102
retry_window_s = 10
grace_s = 8
memory_release_ms = 4000
memory_idle_ms = 9000
"#
    )
}

/// What became of a client's request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub entry: usize,
    pub at: f64,
    /// Status, or why there is no answer.
    pub outcome: Result<u16, String>,
}

/// Sends a request to an entry and waits for the answer.
pub fn send(
    record: &Record,
    entry: usize,
    front: SocketAddr,
    id: &str,
    path: &str,
    deadline_ms: u64,
    key: &str,
) -> Sent {
    let at = record.line(format!(
        "client sends request {id} to entry {entry}: POST {path}"
    ));
    let headers = [
        ("Host", HOST.to_owned()),
        ("Request-Id", id.to_owned()),
        ("Deadline-Ms", deadline_ms.to_string()),
        ("Api-Key", key.to_owned()),
    ];
    let result = call(
        front,
        "POST",
        path,
        &headers,
        "two bags",
        ms(deadline_ms + 500),
    );
    let outcome = match result {
        Ok(res) => Ok(res.status()),
        Err(e) => Err(e.to_string()),
    };
    record.line(format!("client gets for request {id}: {outcome:?}"));
    Sent {
        id: id.to_owned(),
        entry,
        at,
        outcome,
    }
}

/// A client's connection to an entry, kept for several requests.
pub struct Client {
    record: Record,
    entry: usize,
    reader: BufReader<TcpStream>,
}

/// What a client has got of a stream.
#[derive(Clone, Debug)]
pub struct Streamed {
    pub id: String,
    pub entry: usize,
    pub sent_at: f64,
    pub status: u16,
    pub events: usize,
    pub is_complete: bool,
    pub ended_at: f64,
}

impl Client {
    pub fn open(record: &Record, entry: usize, front: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&front, ms(1_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ms(12_000)))?;
        Ok(Self {
            record: record.clone(),
            entry,
            reader: BufReader::new(stream),
        })
    }

    /// Asks for a stream of `tokens` tokens and reads it to its end.
    pub fn stream(&mut self, id: &str, path: &str, tokens: u64, deadline_ms: u64) -> Streamed {
        let sent_at = self.record.line(format!(
            "client sends request {id} to entry {} on a kept connection: POST {path}, {tokens} tokens",
            self.entry
        ));
        let mut streamed = Streamed {
            id: id.to_owned(),
            entry: self.entry,
            sent_at,
            status: 0,
            events: 0,
            is_complete: false,
            ended_at: 0.0,
        };
        let result = self.exchange(path, tokens, deadline_ms, &mut streamed);
        streamed.is_complete = result.is_ok();
        streamed.ended_at = self.record.line(format!(
            "client gets for request {id}: status {}, {} events, {}",
            streamed.status,
            streamed.events,
            match &result {
                Ok(()) => "complete".to_owned(),
                Err(e) => format!("broken off: {e}"),
            }
        ));
        streamed
    }

    fn exchange(
        &mut self,
        path: &str,
        tokens: u64,
        deadline_ms: u64,
        streamed: &mut Streamed,
    ) -> io::Result<()> {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nModel: m\r\nToken-Usage: 4960,{tokens}\r\nPrompt-Prefix: 5c1e07a2:40,{:x}:4920\r\nDeadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nContent-Length: 8\r\n\r\na prompt",
            streamed.id,
            streamed.id.len() as u64 * 7_919 + tokens
        );
        self.reader.get_mut().write_all(head.as_bytes())?;
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
        streamed.status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut length = None;
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse::<usize>().ok();
            }
        }
        if let Some(length) = length {
            return self.reader.read_exact(&mut vec![0; length]);
        }
        loop {
            let mut size = String::new();
            if self.reader.read_line(&mut size)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            self.reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&chunk[..size]).into_owned();
            streamed.events += text.matches("id: ").count();
        }
    }
}

/// A deployment: a store, a proxy before it, and entries.
pub struct Deployment {
    pub root: String,
    pub dir: String,
    pub record: Record,
    pub store: Store,
    pub proxy: Proxy,
    pub entries: Vec<Entry>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Deployment {
    pub fn open(root: &str, dir: &str, record: &Record) -> io::Result<Self> {
        let store = Store::spawn(root)?;
        let proxy = Proxy::open(store.address)?;
        Ok(Self {
            root: root.to_owned(),
            dir: dir.to_owned(),
            record: record.clone(),
            store,
            proxy,
            entries: Vec::new(),
            arrivals: Arc::default(),
        })
    }

    pub fn server(&self, id: &str, work: Duration) -> Server {
        let any = "127.0.0.1:0".parse().expect("address");
        Server::bind(id, any, work, &self.record, &self.arrivals).expect("server")
    }

    /// Starts an entry in each of the zones and waits until all are ready; false if they are not.
    pub fn start_entries(&mut self, zones: &[&str]) -> bool {
        for (index, zone) in zones.iter().enumerate() {
            let entry = Entry::spawn(&self.root, &self.dir, index, zone, self.proxy.address);
            self.entries.push(entry.expect("entry"));
        }
        let are_ready = self.entries.iter().all(Entry::wait_ready);
        self.record.line(format!("entries are ready: {are_ready}"));
        are_ready
    }

    /// Sends requests to the entries in turn, `gap` apart, and waits for all answers.
    pub fn send_all(
        &self,
        prefix: &str,
        count: usize,
        gap: Duration,
        path: &str,
        deadline_ms: u64,
    ) -> Vec<Sent> {
        self.send_keyed(prefix, count, gap, path, deadline_ms, KEY)
    }

    /// Does the same with a key.
    pub fn send_keyed(
        &self,
        prefix: &str,
        count: usize,
        gap: Duration,
        path: &str,
        deadline_ms: u64,
        key: &str,
    ) -> Vec<Sent> {
        let mut sending = Vec::new();
        for i in 0..count {
            let index = i % self.entries.len();
            let front = self.entries[index].front();
            let (record, path, key) = (self.record.clone(), path.to_owned(), key.to_owned());
            let id = format!("{prefix}{i:03}");
            sending.push(thread::spawn(move || {
                send(&record, index, front, &id, &path, deadline_ms, &key)
            }));
            thread::sleep(gap);
        }
        sending
            .into_iter()
            .filter_map(|it| it.join().ok())
            .collect()
    }
}

/// Sleeps until `at` seconds of the record.
pub fn sleep_until(record: &Record, at: f64) {
    let left = at - record.now();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Ends the process with status 2 if a case hangs.
fn watchdog(record: Record, path: String) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(110));
        record.line("the case took too long");
        drop(record.write(&path));
        kill_children();
        std::process::exit(2);
    });
}

fn main() {
    let mut args = env::args().skip(1);
    let (Some(case), Some(path), Some(root), Some(dir)) =
        (args.next(), args.next(), args.next(), args.next())
    else {
        eprintln!("usage: rig CASE RECORD ROOT TEMPORARY_FOLDER");
        std::process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    watchdog(record.clone(), path.clone());
    let run = || cases::run(&case, &root, &dir, &record, trouble);
    let status = match std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)) {
        Ok(status) => status,
        Err(_) => 2,
    };
    let verdict = match status {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    record.line(format!("verdict: {verdict}"));
    println!("{verdict}");
    if record.write(&path).is_err() {
        std::process::exit(2);
    }
    std::process::exit(status);
}
