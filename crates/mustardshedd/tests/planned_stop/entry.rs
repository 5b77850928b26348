//! An entry as a process of its own.

use std::{
    collections, fs, net,
    os::unix::process::ExitStatusExt,
    path, process,
    sync::{self, atomic},
    time,
};

use mustardshed::platform::discovery;
use mustardshed_standins::platform::template;
use rustix::process as posix;
use serde_json::json;
use tokio::task;

#[path = "entry/memory.rs"]
pub(crate) mod memory;

/// Interval between checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Longest wait for an entry to be ready; far longer than a loaded machine needs.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// How a planned stop went.
#[derive(Clone, Debug)]
pub(crate) struct Stop {
    /// Index of the entry.
    pub(crate) entry: usize,
    /// When the signal was sent.
    pub(crate) began_at: time::Instant,
    /// Time from the signal to the kill.
    pub(crate) grace: time::Duration,
    /// Exit code; none if a signal ended the process.
    pub(crate) exit_code: Option<i32>,
    /// Signal that ended the process, if one did.
    pub(crate) exit_signal: Option<i32>,
    /// Whether the process was killed at the end of the grace.
    pub(crate) is_killed: bool,
    /// Whether the process had bound a listener when it was last signalled.
    pub(crate) had_listened: bool,
    /// Log lines about the stop.
    pub(crate) log: Vec<String>,
}

impl Stop {
    /// Returns whether the process exited as planned, or was ended before it could take requests.
    pub(crate) fn is_planned(&self) -> bool {
        match self.exit_code {
            Some(code) => code == 0,
            None => !self.had_listened && !self.is_killed,
        }
    }
}

/// Events that tell how a stop went.
const STOP_EVENTS: [&str; 3] = ["drain_began", "forward_cut", "forwarding_stopped"];

/// A running entry, which is killed when dropped.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) index: usize,
    pub(crate) ip: net::Ipv4Addr,
    grace: time::Duration,
    dir: path::PathBuf,
    child: process::Child,
    had_listened: bool,
}

impl Drop for Entry {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_dir_all(&self.dir));
    }
}

/// Returns a loopback address that no other test uses: on a shared address, another process might
/// take a port that was just free.
pub(crate) fn unique_ip() -> net::Ipv4Addr {
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
    let [.., host] = (number % 250 + 1).to_be_bytes();
    let [.., high, low] = process::id().to_be_bytes();
    net::Ipv4Addr::new(127, high.max(1), low, host)
}

/// Returns a number that no other process of this test has.
fn unique_number() -> u32 {
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    NEXT.fetch_add(1, atomic::Ordering::Relaxed)
}

/// Returns the address for callers.
pub(crate) fn front(ip: net::Ipv4Addr) -> net::SocketAddr {
    net::SocketAddr::from((ip, 8001))
}

/// Environment variable with the path of a daemon of another build. Every second entry runs it until
/// it is started again, as in an upgrade.
const OTHER_BUILD: &str = "MUSTARDSHED_OTHER_BUILD";

/// Returns the path of the daemon that an entry runs.
fn program(index: usize, ip: net::Ipv4Addr) -> path::PathBuf {
    static STARTED: sync::Mutex<collections::BTreeSet<net::Ipv4Addr>> =
        sync::Mutex::new(collections::BTreeSet::new());
    let is_first_start = STARTED.lock().unwrap().insert(ip);
    let other = std::env::var_os(OTHER_BUILD).filter(|_| is_first_start && index % 2 == 1);
    other.map_or_else(
        || env!("CARGO_BIN_EXE_mustardshedd").into(),
        path::PathBuf::from,
    )
}

/// What an entry is started with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings<'a> {
    pub(crate) index: usize,
    pub(crate) ip: net::Ipv4Addr,
    pub(crate) data_centre: &'a str,
    pub(crate) platform: &'a str,
    pub(crate) grace: time::Duration,
    /// Memory of the VM, in megabytes, if the entry is told.
    pub(crate) memory_mb: Option<u64>,
    /// Bytes of a stream to be read ahead; another build may not know the setting if it is zero.
    pub(crate) read_ahead_bytes: usize,
    /// Most descriptors that the process may have open, if that is lowered.
    pub(crate) descriptors: Option<u64>,
}

/// Returns the settings that the deployment's template makes on a machine with these limits, which are
/// named as the platform names them.
fn settings_file(settings: &Settings<'_>, limits: &serde_json::Value) -> String {
    const TEMPLATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/settings.toml.in");
    let text = fs::read_to_string(TEMPLATE).unwrap();
    let Settings { index, ip, .. } = settings;
    let machine = json!({
        "node_name": format!("entry-{index}"),
        "zone": settings.data_centre,
        "ip": ip.to_string(),
        "listen": {
            "front": format!("{ip}:8001"), "ready": format!("{ip}:8002"),
            "directory": format!("{ip}:8003"), "control": format!("{ip}:8004"),
        },
        "seeds": [],
        "limits": limits,
        "heartbeat_ms": 500,
        "bounds": {
            "grace_s": settings.grace.as_secs_f64(), "config_apply_ms": 2_000, "revoke_ms": 5_000,
            "fail_closed": true, "retry_budget_ratio": 0.2, "budget_window_s": 10,
            "budget_slack": 100, "free_ms": 4_000, "idle_max_ms": 9_000,
        },
        "provider": { "address": settings.platform },
        "read_ahead_bytes": settings.read_ahead_bytes,
    });
    template::fill(&text, &machine).unwrap()
}

/// Returns the command that runs a program, with a lowered limit of descriptors if one is given.
fn command(program: &path::Path, descriptors: Option<u64>) -> process::Command {
    let Some(limit) = descriptors else {
        return process::Command::new(program);
    };
    let script = format!(r#"ulimit -n {limit} && exec "$0" "$@""#);
    let mut command = process::Command::new("sh");
    command.arg("-c").arg(script).arg(program);
    command
}

impl Entry {
    /// Starts an entry.
    pub(crate) fn spawn(settings: &Settings<'_>) -> Self {
        let limits = json!({ "cpu_share": 1.0, "memory_mb": settings.memory_mb });
        Self::spawn_deployed(settings, &limits)
    }

    /// Starts an entry as the platform does on a machine with these limits. Nothing but its settings
    /// tells it of them.
    pub(crate) fn spawn_deployed(settings: &Settings<'_>, limits: &serde_json::Value) -> Self {
        let Settings {
            index, ip, grace, ..
        } = *settings;
        let name = format!("planned-stop-{ip}-{}", unique_number());
        let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&dir).unwrap();
        let file = dir.join("settings.toml");
        fs::write(&file, settings_file(settings, limits)).unwrap();
        let log = fs::File::create(dir.join("log")).unwrap();
        let child = command(&program(index, ip), settings.descriptors)
            .arg("--forwarding")
            .arg("--settings")
            .arg(&file)
            .stdin(process::Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        Self {
            index,
            ip,
            grace,
            dir,
            child,
            had_listened: false,
        }
    }

    /// Waits until the entry takes requests.
    pub(crate) async fn ready(self) -> Self {
        let began_at = time::Instant::now();
        while !self.takes_work().await {
            let log = self.log();
            assert!(began_at.elapsed() < READY_TIMEOUT, "not ready: {log}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self
    }

    async fn takes_work(&self) -> bool {
        let http = mustardshed_standins::json_client::JsonClient::open();
        let url = format!("http://{}:8002{}", self.ip, discovery::READY_PATH);
        let req = http::Request::get(url).body(bytes::Bytes::new().into());
        http.send(req).await.is_ok_and(|res| res.status == 200)
    }

    /// Sends a signal to the process, unless it has exited.
    pub(crate) fn signal(&mut self, signal: posix::Signal) {
        if let Ok(None) = self.child.try_wait() {
            self.had_listened = self.has_listened();
            let id = posix::Pid::from_child(&self.child);
            posix::kill_process(id, signal).unwrap();
        }
    }

    /// Sends SIGTERM and waits for the exit; kills the process at the end of the grace.
    pub(crate) async fn stop(&mut self) -> Stop {
        let began_at = time::Instant::now();
        self.signal(posix::Signal::TERM);
        self.exit(began_at).await
    }

    /// Waits for the exit; kills the process at the end of the grace.
    pub(crate) async fn exit(&mut self, began_at: time::Instant) -> Stop {
        let mut is_killed = false;
        let status = loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                break status;
            }
            if began_at.elapsed() >= self.grace {
                is_killed = true;
                self.child.kill().unwrap();
                break self.child.wait().unwrap();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        Stop {
            entry: self.index,
            began_at,
            grace: self.grace,
            exit_code: status.code(),
            exit_signal: status.signal(),
            is_killed,
            had_listened: self.had_listened,
            log: self.stop_events(),
        }
    }

    fn stop_events(&self) -> Vec<String> {
        let is_wanted = |line: &&str| STOP_EVENTS.iter().any(|name| line.contains(name));
        let log = self.log();
        log.lines().filter(is_wanted).map(str::to_owned).collect()
    }

    /// Returns the most memory that the process has had resident, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kib: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
        kib * 1024
    }

    /// Returns the memory that the process has now, in bytes: resident, and received but not yet
    /// read.
    pub(crate) fn memory(&self) -> memory::Memory {
        memory::Memory::of(self.child.id(), self.ip)
    }

    /// Returns the number of descriptors that the process has open; none if it has exited.
    pub(crate) fn open_descriptors(&self) -> Option<usize> {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.ok().map(Iterator::count)
    }

    /// Returns whether the process still runs.
    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process has bound its first listener.
    pub(crate) async fn listening(&self) {
        let began_at = time::Instant::now();
        while !self.has_listened() {
            let log = self.log();
            assert!(began_at.elapsed() < READY_TIMEOUT, "not listening: {log}");
            task::yield_now().await;
        }
    }

    /// Returns whether the process has bound a listener.
    fn has_listened(&self) -> bool {
        net::TcpStream::connect((self.ip, 8002)).is_ok()
    }

    /// Pauses the process.
    pub(crate) async fn pause(&mut self, duration: time::Duration) {
        self.signal(posix::Signal::STOP);
        tokio::time::sleep(duration).await;
        self.signal(posix::Signal::CONT);
    }

    /// Returns what the process has logged.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }
}
