//! Results of one measurement, per entry and second.

use std::time;

use rustix::time as system;

use super::breakdown;

/// Cost of the control plane of one entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cost {
    /// Messages sent per second.
    pub messages_per_second: f64,
    /// Bytes sent per second.
    pub bytes_per_second: f64,
    /// CPU time, in milliseconds per second.
    pub cpu_ms_per_second: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: f64,
    /// Credits granted per second.
    pub credits_per_second: f64,
    /// Breakdown by message and call.
    pub parts: Vec<(&'static str, Rate)>,
}

/// Cost of one kind of message or call, per entry and second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Messages, facts or calls per second.
    pub count: f64,
    /// Bytes sent per second.
    pub bytes: f64,
    /// CPU time, in milliseconds per second.
    pub cpu_ms: f64,
}

impl Rate {
    /// Divides a count by entries times seconds.
    pub fn new(part: &breakdown::Part, entry_seconds: f64) -> Self {
        Self {
            count: part.count as f64 / entry_seconds,
            bytes: part.bytes as f64 / entry_seconds,
            cpu_ms: part.cpu.as_secs_f64() * 1e3 / entry_seconds,
        }
    }
}

/// Returns the CPU time that this thread has used.
pub fn thread_cpu_time() -> time::Duration {
    let now = system::clock_gettime(system::ClockId::ThreadCPUTime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    time::Duration::new(secs, nanos)
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|text| text.parse().ok()).unwrap_or_default();
    pages * rustix::param::page_size() as u64
}
