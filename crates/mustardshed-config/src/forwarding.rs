//! Settings of an entry process that forwards requests on the users' platform.

use std::{net, path, time};

use crate::{
    problem,
    reader::{self, read, section},
    settings,
};

mod clients;

pub use clients::Clients;

/// Longest duration accepted for a key in milliseconds: an hour.
const MAX_MS: f64 = 3_600_000.0;
/// Longest duration accepted for a key in seconds: an hour.
const MAX_S: f64 = 3_600.0;
/// Greatest ratio or count accepted.
const MAX_NUMBER: f64 = 1_000_000.0;

/// Least memory of a VM that is accepted, in megabytes.
const MIN_MEMORY_MB: u64 = 64;
/// Most memory of a VM that is accepted, in megabytes.
const MAX_MEMORY_MB: u64 = 1 << 20;
const BYTES_PER_MB: u64 = 1_000_000;
/// Least number of descriptors of a process that is accepted.
const MIN_DESCRIPTORS: u64 = 64;
/// Most descriptors of a process that are accepted, which is the kernel's own limit.
const MAX_DESCRIPTORS: u64 = 1 << 30;

/// Most bytes of a stream that may be read ahead of its client.
const MAX_READ_AHEAD_BYTES: u32 = 1 << 20;
/// Greatest share of a service's requests that may be hedged: that of the fleet's retry budget.
const MAX_HEDGED_SHARE: f64 = 0.2;
/// Shortest time after which a second attempt may be sent, if the settings give none.
const DEFAULT_HEDGING_DELAY: time::Duration = time::Duration::from_millis(50);
/// Longest such time that is accepted, in milliseconds.
const MAX_HEDGING_DELAY_MS: u64 = 60_000;

/// CPU capacity of the VM if the settings give none, in cores.
const DEFAULT_PROCESSOR: f64 = 1.0;

/// Validated settings of a forwarding entry process.
#[derive(Clone, Debug, PartialEq)]
pub struct Forwarding {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// CPU capacity of the VM, in cores.
    pub processor: f64,
    /// Memory of the VM in bytes, if the settings give it; the process may be allowed less.
    pub memory: Option<u64>,
    /// Most descriptors that the VM allows the process, if the settings give them; its resource limit
    /// may be lower.
    pub max_descriptors: Option<usize>,
    /// Most bytes of a stream that are read ahead of a slow client; none are if it is zero.
    pub read_ahead_bytes: usize,
    /// Address to listen on for callers.
    pub front: net::SocketAddr,
    /// Address to listen on for readiness probes.
    pub ready: net::SocketAddr,
    /// Address to listen on for discovery: which entries to use.
    pub directory: net::SocketAddr,
    /// Address to listen on for peers.
    pub peers: net::SocketAddr,
    /// Addresses of some peers to join through; they may be out of date.
    pub seeds: Vec<net::SocketAddr>,
    /// Address of the platform's object API.
    pub platform: net::SocketAddr,
    /// Address to serve metrics on, if any.
    pub metrics: Option<net::SocketAddr>,
    /// Interval at which servers renew their entries on the platform, if known.
    pub server_heartbeat: Option<time::Duration>,
    /// Lowest severity that is logged.
    pub log_level: settings::LogLevel,
    /// How client accounts share the servers.
    pub accounts: Accounts,
    /// Limits on connections of clients.
    pub clients: Clients,
    /// Limits that the platform's operators set for this system.
    pub bounds: Bounds,
    /// When requests are sent to a second server beside the first, if at all.
    pub hedging: Option<Hedging>,
}

/// Limits of second attempts that are sent while the first continues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedging {
    /// Second attempts allowed for each request to a service in the retry window.
    pub max_share: f64,
    /// Shortest time after which a second attempt may be sent.
    pub min_delay: time::Duration,
}

/// How client accounts share the servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Accounts {
    /// Whether accounts are limited to a fair share of a service that is short of capacity.
    pub fair_shares: bool,
}

/// Limits that the platform's operators set for this system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Whether requests with API keys are refused once the configuration may be out of date.
    pub fail_closed: bool,
    /// Longest time until a change of the configuration is in effect.
    pub application: time::Duration,
    /// Longest time for which a revoked API key may still be accepted.
    pub revocation: time::Duration,
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Retries allowed in a window on top of the ratio, by all entries together.
    pub retry_allowance: f64,
    /// Window over which retries are counted.
    pub retry_window: time::Duration,
    /// Time between the order to stop and the kill.
    pub grace: time::Duration,
    /// Longest time until memory that no request uses is freed.
    pub memory_release: time::Duration,
    /// Longest time for which memory may stay reserved before a request uses it.
    pub memory_idle: time::Duration,
}

/// Parses and validates the settings, a TOML document.
///
/// # Errors
///
/// Returns every problem found, ordered by line.
pub fn parse(source: &str) -> Result<Forwarding, Vec<problem::Problem>> {
    reader::document(source, settings::MAX_SETTINGS_BYTES, |_, root| {
        let settings = Forwarding::read(root);
        root.report_unknown();
        settings
    })
}

/// Environment variable with the path of the settings file, used if no flag gives it.
pub const PATH_VARIABLE: &str = "MUSTARDSHED_CONFIG";

/// Returns the path of the settings file from [`PATH_VARIABLE`], if it is set.
#[must_use]
pub fn path_from_environment() -> Option<path::PathBuf> {
    std::env::var_os(PATH_VARIABLE).map(path::PathBuf::from)
}

impl Forwarding {
    fn read(root: &section::Section<'_, '_>) -> Option<Self> {
        let vm = root.required("vm", read::name);
        let data_centre = root.required("data_centre", read::name);
        let processor = root.optional("processor", DEFAULT_PROCESSOR, |field| {
            read::number_within(MAX_NUMBER)(field)
        });
        let memory = root.optional("memory_mb", None, |field| {
            let mb = read::u64_within(MIN_MEMORY_MB, MAX_MEMORY_MB)(field)?;
            Some(Some(mb * BYTES_PER_MB))
        });
        let max_descriptors = root.optional("max_descriptors", None, |field| {
            let count = read::u64_within(MIN_DESCRIPTORS, MAX_DESCRIPTORS)(field)?;
            Some(Some(usize::try_from(count).unwrap_or(usize::MAX)))
        });
        let read_ahead_bytes = root.optional("read_ahead_bytes", 0, |field| {
            read::usize_within(0, MAX_READ_AHEAD_BYTES)(field)
        });
        let front = root.required("front", read::address);
        let ready = root.required("ready", read::address);
        let directory = root.required("directory", read::address);
        let peers = root.required("peers", read::address);
        let seeds = root.optional("seeds", Vec::new(), |field| {
            let seeds = read::list(|field| Some(read::address(field)))(field)?;
            Some(seeds.into_iter().flatten().collect())
        });
        let platform = root.required("platform", read::address);
        let metrics = root.optional("metrics", None, |field| read::address(field).map(Some));
        let server_heartbeat = root.optional("server_heartbeat_ms", None, |field| {
            let ms = read::number_within(MAX_MS)(field)?;
            Some(Some(time::Duration::from_secs_f64(ms / 1_000.0)))
        });
        let log_level = root.optional("log_level", settings::LogLevel::Info, |field| {
            settings::LogLevel::read(field)
        });
        let accounts = root.optional("accounts", Accounts::default(), |field| {
            Accounts::read(&field.table()?)
        });
        let clients = root.optional("clients", Clients::default(), Clients::read);
        let bounds = root.required("bounds", |field| Bounds::read(&field.table()?));
        let hedging = root.optional("hedging", None, |field| {
            Hedging::read(&field.table()?).map(Some)
        });
        Some(Self {
            vm: vm?,
            data_centre: data_centre?,
            processor: processor?,
            memory: memory?,
            max_descriptors: max_descriptors?,
            read_ahead_bytes: read_ahead_bytes?,
            front: front?,
            ready: ready?,
            directory: directory?,
            peers: peers?,
            seeds: seeds?,
            platform: platform?,
            metrics: metrics?,
            server_heartbeat: server_heartbeat?,
            log_level: log_level?,
            accounts: accounts?,
            clients: clients?,
            bounds: bounds?,
            hedging: hedging?,
        })
    }
}

impl Hedging {
    fn read(section: &section::Section<'_, '_>) -> Option<Self> {
        let max_share = section.required("max_share", read::number_above_zero(MAX_HEDGED_SHARE));
        let min_delay = section.optional(
            "min_delay_ms",
            DEFAULT_HEDGING_DELAY,
            read::millis_within(1, MAX_HEDGING_DELAY_MS),
        );
        section.report_unknown();
        Some(Self {
            max_share: max_share?,
            min_delay: min_delay?,
        })
    }
}

impl Accounts {
    fn read(section: &section::Section<'_, '_>) -> Option<Self> {
        let fair_shares = section.optional("fair_shares", false, read::boolean);
        section.report_unknown();
        Some(Self {
            fair_shares: fair_shares?,
        })
    }
}

impl Bounds {
    fn read(section: &section::Section<'_, '_>) -> Option<Self> {
        let millis = |key| section.required(key, read::number_within(MAX_MS));
        let seconds = |key| section.required(key, read::number_within(MAX_S));
        let number = |key| section.required(key, read::number_within(MAX_NUMBER));
        let fail_closed = section.required("fail_closed", read::boolean);
        let application = millis("application_ms");
        let revocation = millis("revocation_ms");
        let retry_ratio = number("retry_ratio");
        let retry_allowance = number("retry_allowance");
        let retry_window = seconds("retry_window_s");
        let grace = seconds("grace_s");
        let memory_release = millis("memory_release_ms");
        let memory_idle = millis("memory_idle_ms");
        section.report_unknown();
        let of_millis = |ms: f64| time::Duration::from_secs_f64(ms / 1_000.0);
        Some(Self {
            fail_closed: fail_closed?,
            application: of_millis(application?),
            revocation: of_millis(revocation?),
            retry_ratio: retry_ratio?,
            retry_allowance: retry_allowance?,
            retry_window: time::Duration::from_secs_f64(retry_window?),
            grace: time::Duration::from_secs_f64(grace?),
            memory_release: of_millis(memory_release?),
            memory_idle: of_millis(memory_idle?),
        })
    }
}
