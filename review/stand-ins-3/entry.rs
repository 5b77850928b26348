//! Entry processes of the project, and signals to them.

use std::{
    fs,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

#[allow(dead_code)]
pub const HANGUP: i32 = 1;
#[allow(dead_code)]
pub const KILL: i32 = 9;
#[allow(dead_code)]
pub const TERMINATE: i32 = 15;
const CONTINUE: i32 = 18;
const STOP: i32 = 19;

/// The program of the deploy file.
pub const PROGRAM: &str = "target/release/mustardshedd";

/// One machine with its entry.
pub struct Entry {
    pub front: String,
    pub ready: String,
    pub peers: String,
    process: Mutex<Child>,
    settings: PathBuf,
    log: PathBuf,
}

/// What differs between machines.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub ip: &'a str,
    pub store: &'a str,
    pub seeds: &'a [String],
}

/// Returns a loopback address for a machine, which no other run uses.
pub fn ip(machine: usize) -> String {
    let run = std::process::id();
    format!("127.{}.{}.{}", 16 + run % 200, run / 200 % 250, 10 + machine)
}

fn free_addresses<const N: usize>(ip: &str) -> [String; N] {
    let listeners = [(); N].map(|()| TcpListener::bind((ip, 0)).unwrap());
    listeners.map(|listener| listener.local_addr().unwrap().to_string())
}

impl Entry {
    /// Starts an entry with what the template of the deploy file gives for a small machine.
    pub fn start(folder: &Path, machine: &Machine<'_>) -> Self {
        let [front, ready, directory, peers, metrics] = free_addresses(machine.ip);
        let seeds: Vec<String> = machine.seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let text = format!(
            "vm = \"{}\"\ndata_centre = \"{}\"\nprocessor = 0.25\nmemory_mb = 260\nmax_descriptors = 4200\n\
             front = \"{front}\"\nready = \"{ready}\"\ndirectory = \"{directory}\"\npeers = \"{peers}\"\n\
             seeds = [{}]\nplatform = \"{}\"\nmetrics = \"{metrics}\"\nserver_heartbeat_ms = 1200\n\n\
             [bounds]\nfail_closed = true\napplication_ms = 2000\nrevocation_ms = 5000\nretry_ratio = 0.2\n\
             retry_allowance = 102\nretry_window_s = 10\ngrace_s = 8\nmemory_release_ms = 4000\n\
             memory_idle_ms = 9000\n",
            machine.name,
            machine.zone,
            seeds.join(","),
            machine.store
        );
        let settings = folder.join(format!("{}.toml", machine.name));
        fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{}.log", machine.name));
        let process = spawn(&settings, &log);
        Self {
            front,
            ready,
            peers,
            process: Mutex::new(process),
            settings,
            log,
        }
    }

    pub fn pid(&self) -> i32 {
        i32::try_from(self.process.lock().unwrap().id()).unwrap()
    }

    /// Sends a signal to the process, which this program has started.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the call has no memory to corrupt; the process is this program's child.
        unsafe { kill(self.pid(), signal) };
    }

    /// Stops the process until `thaw`.
    pub fn freeze(&self) {
        self.signal(STOP);
    }

    pub fn thaw(&self) {
        self.signal(CONTINUE);
    }

    /// Starts the process again after its end, with the settings that it had.
    #[allow(dead_code)]
    pub fn restart(&self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.wait();
        *process = spawn(&self.settings, &self.log);
    }

    /// Returns whether the readiness check gets a 200.
    pub fn is_ready(&self) -> bool {
        let asked = || -> Option<bool> {
            let mut connection = TcpStream::connect(&self.ready).ok()?;
            connection
                .set_read_timeout(Some(Duration::from_secs(1)))
                .ok()?;
            connection
                .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n")
                .ok()?;
            let mut head = [0; 12];
            connection.read_exact(&mut head).ok()?;
            Some(head.ends_with(b"200"))
        };
        asked().unwrap_or(false)
    }

    /// Waits until the entry is ready; returns false if it is not in time.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut process = self.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let log = fs::File::options()
        .append(true)
        .create(true)
        .open(log)
        .unwrap();
    let mut command = Command::new(PROGRAM);
    command
        .arg("--forwarding")
        .env("MUSTARDSHED_CONFIG", settings)
        .stdout(Stdio::from(log.try_clone().unwrap()))
        .stderr(Stdio::from(log));
    // SAFETY: the call is safe between fork and exec.
    let command = unsafe {
        command.pre_exec(|| {
            prctl(SET_PARENT_DEATH_SIGNAL, KILL as u64);
            Ok(())
        })
    };
    command.spawn().unwrap()
}
