//! Entries and runners as processes of their own, and a record of what was seen.

use std::{
    fs,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{mpsc, Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, store::Store};

/// The command of the deploy file.
const ENTRY: [&str; 2] = ["target/release/mustardshedd", "--forwarding"];

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} s  {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Processes that this program has started and not yet ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this program has started.
pub fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
    }
}

/// A process that is killed when dropped.
pub struct Process(Child);

impl Process {
    fn new(child: Child) -> Self {
        RUNNING.lock().unwrap().push(child.id());
        Self(child)
    }

    pub fn id(&self) -> u32 {
        self.0.id()
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.0.id());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder that is removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// An entry of the system.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Process>,
}

/// Returns free ports of 127.0.0.1, all different.
fn free_ports(count: usize) -> Vec<SocketAddr> {
    let bound: Vec<(TcpListener, SocketAddr)> = (0..count).map(|_| http::listen()).collect();
    bound.into_iter().map(|(_, address)| address).collect()
}

/// Starts entries, as the platform does after it has filled in `deploy/settings.toml.in` with the
/// figures of a small deployment. `zones` has the zone of each.
pub fn start_entries(folder: &Folder, store: &Store, zones: &[String]) -> Vec<Entry> {
    let ports = free_ports(5 * zones.len());
    let peers: Vec<String> = ports.chunks(5).map(|p| format!("\"{}\"", p[3])).collect();
    start(folder, store, zones, &ports, &peers[..peers.len().min(3)].join(","), 0)
}

/// Adds an entry to running ones.
pub fn add_entry(folder: &Folder, store: &Store, zone: &str, running: &[Entry]) -> Vec<Entry> {
    let seeds: Vec<String> = running.iter().take(3).map(|entry| format!("\"{}\"", entry.peers)).collect();
    start(folder, store, &[zone.to_owned()], &free_ports(5), &seeds.join(","), running.len())
}

fn start(folder: &Folder, store: &Store, zones: &[String], ports: &[SocketAddr], seeds: &str, first: usize) -> Vec<Entry> {
    let entries = zones.iter().zip(ports.chunks(5)).enumerate().map(|(i, (zone, p))| {
        let name = format!("edge-{zone}-{}", first + i);
        let text = format!(
            "vm = \"{name}\"\ndata_centre = \"{zone}\"\nprocessor = 0.25\nmemory_mb = 260\nmax_descriptors = 4200\n\
             front = \"{}\"\nready = \"{}\"\ndirectory = \"{}\"\npeers = \"{}\"\nseeds = [{seeds}]\nplatform = \"{}\"\n\
             metrics = \"{}\"\nserver_heartbeat_ms = 1200\n[bounds]\nfail_closed = true\napplication_ms = 2000\n\
             revocation_ms = 5000\nretry_ratio = 0.2\nretry_allowance = 102\nretry_window_s = 10\ngrace_s = 8\n\
             memory_release_ms = 4000\nmemory_idle_ms = 9000\n",
            p[0], p[1], p[2], p[3], store.address, p[4]
        );
        let settings = folder.0.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings can be written");
        let log = folder.0.join(format!("{name}.log"));
        let mut entry = Entry { name, front: p[0], ready: p[1], peers: p[3], settings, log, process: None };
        entry.start();
        entry
    });
    entries.collect()
}

impl Entry {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(ENTRY[0])
            .args(&ENTRY[1..])
            .env("MUSTARDSHED_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the entry starts");
        self.process = Some(Process::new(child));
    }

    /// Sends a signal, which is given by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.pid().to_string()]).status();
    }

    pub fn pid(&self) -> u32 {
        self.process.as_ref().map_or(0, |process| process.id())
    }

    /// Returns the answer to the platform's readiness check, which waits for at most a second; none
    /// if there was none.
    pub fn readiness(&self) -> Option<u16> {
        let head = "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n";
        let answer = http::call(self.ready, head, b"", Duration::from_secs(1));
        answer.ok().map(|answer| answer.status())
    }

    /// Waits until the entry says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.readiness() == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the memory of the process in megabytes and its processor time in seconds.
    pub fn usage(&self) -> (u64, f64) {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let number = |i: usize| fields.get(i).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        (number(21) * 4096 / 1_000_000, (number(11) + number(12)) as f64 / 100.0)
    }

    /// Returns the lines of the log that hold one of these words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

/// A runner, which is a process of its own.
pub struct Runner {
    pub id: String,
    process: Process,
}

/// What a runner says of a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub runner: String,
    pub request: String,
    pub what: String,
}

/// Starts a runner and registers it; it tells `tx` of what it runs.
pub fn start_runner(store: &Store, id: &str, service: &str, zone: &str, kind: &str, tx: &mpsc::Sender<Arrival>) -> Runner {
    let program = std::env::current_exe().expect("this program");
    let child = Command::new(program).args(["runner", kind, id]).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn();
    let mut child = child.expect("the runner starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
    let address = lines.next().and_then(Result::ok).expect("its address");
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis());
    let slots = if service == "model" { 16 } else { 6 };
    store.put(
        "servers",
        id,
        &format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":0,\"born\":{born}}}"
        ),
    );
    let (tx, runner) = (tx.clone(), id.to_owned());
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            let (request, what) = line.split_once(' ').unwrap_or((&line, ""));
            let arrival = Arrival { runner: runner.clone(), request: request.to_owned(), what: what.to_owned() };
            if tx.send(arrival).is_err() {
                return;
            }
        }
    });
    Runner { id: id.to_owned(), process: Process::new(child) }
}

impl Runner {
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Begins the disruption in which the runner fails part of its requests.
    pub fn turn_grey(&mut self) {
        if let Some(stdin) = &mut self.process.0.stdin {
            let _ = stdin.write_all(b"grey\n");
        }
    }
}
