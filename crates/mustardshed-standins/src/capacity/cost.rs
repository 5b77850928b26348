//! Figures of one measurement, per entry and second.

use std::time;

use rustix::time as system;

/// Control cost of one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Messages sent a second.
    pub messages_per_second: f64,
    /// Bytes sent a second.
    pub bytes_per_second: f64,
    /// Processor time, in milliseconds a second.
    pub cpu_ms_per_second: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: f64,
    /// Credits granted a second.
    pub credits_per_second: f64,
}

/// Returns the processor time that this thread has used.
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
