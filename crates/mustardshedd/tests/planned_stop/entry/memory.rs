//! Memory of a process, as the platform counts it.

use std::{collections, fs, net};

/// State of a listening socket, whose queue holds connections and not bytes.
const LISTEN: &str = "0A";

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Memory {
    /// Resident.
    pub(crate) resident: u64,
    /// Received on its sockets, but not yet read.
    pub(crate) unread: u64,
}

impl Memory {
    /// Reads the memory of a process, whose listeners' address is `ip`; zero if it has exited.
    pub(crate) fn of(process: u32, ip: net::Ipv4Addr) -> Self {
        let read = |name: &str| fs::read_to_string(format!("/proc/{process}/{name}"));
        let status = read("status").unwrap_or_default();
        let mut lines = status.lines();
        let resident = lines.find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.map_or(0, |kib| {
            kib.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
        });
        let inodes = socket_inodes(process);
        let sockets = read("net/tcp").unwrap_or_default();
        let queues = sockets.lines().skip(1).filter_map(|line| {
            let socket = Socket::parse(line);
            let is_own = socket.ip == ip || inodes.contains(socket.inode);
            (is_own && socket.state != LISTEN).then_some(socket.unread)
        });
        Self {
            resident,
            unread: queues.sum(),
        }
    }

    /// Returns all of it.
    pub(crate) const fn total(self) -> u64 {
        self.resident + self.unread
    }
}

/// A line of the kernel's table of TCP sockets.
struct Socket<'l> {
    ip: net::Ipv4Addr,
    state: &'l str,
    unread: u64,
    inode: &'l str,
}

impl<'l> Socket<'l> {
    fn parse(line: &'l str) -> Self {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (ip, _) = fields[1].split_once(':').unwrap();
        let ip = u32::from_str_radix(ip, 16).unwrap();
        let (_, unread) = fields[4].split_once(':').unwrap();
        Self {
            // The kernel prints the address as a number of the machine's byte order.
            ip: net::Ipv4Addr::from(ip.to_ne_bytes()),
            state: fields[3],
            unread: u64::from_str_radix(unread, 16).unwrap(),
            inode: fields[9],
        }
    }
}

/// Returns the numbers of the sockets that a process has open.
fn socket_inodes(process: u32) -> collections::HashSet<String> {
    let files = fs::read_dir(format!("/proc/{process}/fd"));
    let files = files.into_iter().flatten().flatten();
    let inodes = files.filter_map(|file| {
        let target = fs::read_link(file.path()).ok()?;
        let inode = target.to_str()?.strip_prefix("socket:[")?;
        Some(inode.strip_suffix(']')?.to_owned())
    });
    inodes.collect()
}
