//! How much memory this process may use.

use std::{fs, io, path};

use rustix::{process, system};

/// File with the limit of a control group, by version.
const LIMIT_FILES: [&str; 2] = ["memory.max", "memory.limit_in_bytes"];
/// Directories below that of control groups where those that limit memory may be.
const HIERARCHIES: [&str; 3] = ["", "memory", "unified"];

/// What limits the memory of a process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The settings.
    Settings,
    /// The memory of the machine.
    Machine,
    /// A control group.
    ControlGroup,
    /// A resource limit of the process.
    ResourceLimit,
}

impl Source {
    /// Returns the name under which it is logged.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Settings => "settings",
            Self::Machine => "machine",
            Self::ControlGroup => "control_group",
            Self::ResourceLimit => "resource_limit",
        }
    }
}

/// Memory that a process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allowed {
    /// In bytes.
    pub bytes: u64,
    /// What sets it.
    pub source: Source,
}

/// Returns the least of what the settings, the machine, control groups and resource limits allow.
///
/// # Errors
///
/// Returns an error if none of them sets a limit.
pub fn allowed(settings: Option<u64>) -> io::Result<Allowed> {
    let limits = [
        (Source::Settings, settings),
        (Source::Machine, machine()),
        (Source::ControlGroup, control_group(path::Path::new("/"))),
        (Source::ResourceLimit, resource_limit()),
    ];
    let limits = limits.into_iter();
    let least = limits.filter_map(|(source, bytes)| Some((bytes?, source)));
    let (bytes, source) = least
        .min()
        .ok_or_else(|| io::Error::other("the machine reports no size"))?;
    Ok(Allowed { bytes, source })
}

fn machine() -> Option<u64> {
    let info = system::sysinfo();
    let bytes = info.totalram.checked_mul(info.mem_unit.into());
    bytes.filter(|bytes| *bytes > 0)
}

fn resource_limit() -> Option<u64> {
    let limits = [process::Resource::As, process::Resource::Data];
    let limits = limits.into_iter();
    limits
        .filter_map(|limit| process::getrlimit(limit).current)
        .min()
}

/// Returns the least limit of the control groups that this process is in, on a system whose files are
/// below `root`; none if it is in none or the system has none.
#[must_use]
pub fn control_group(root: &path::Path) -> Option<u64> {
    let groups = fs::read_to_string(root.join("proc/self/cgroup")).ok()?;
    let limits = groups.lines().filter_map(|line| {
        let mut fields = line.splitn(3, ':').skip(1);
        let (controllers, group) = (fields.next()?, fields.next()?);
        let is_memory = controllers.is_empty() || controllers.split(',').any(|c| c == "memory");
        is_memory.then(|| least_limit(root, group)).flatten()
    });
    limits.min()
}

/// Returns the least limit of a control group and of those around it.
fn least_limit(root: &path::Path, group: &str) -> Option<u64> {
    let group = path::Path::new(group.trim_start_matches('/'));
    let limits = HIERARCHIES.iter().flat_map(|hierarchy| {
        let dir = root.join("sys/fs/cgroup").join(hierarchy);
        group.ancestors().flat_map(move |group| {
            let dir = dir.join(group);
            LIMIT_FILES.map(|name| dir.join(name))
        })
    });
    // Most of these files do not exist, and one without a limit holds a word.
    let read = |file: path::PathBuf| fs::read_to_string(file).ok()?.trim().parse().ok();
    limits.filter_map(read).min()
}
