//! CPU time of processes, from the system's process table.

use std::{fs, time};

/// Fields after the name of the process up to the user time.
const USER_TIME_FIELD: usize = 11;

/// Returns the CPU time that processes have used; ended ones count as zero.
pub(super) fn used_by(pids: &[u32]) -> time::Duration {
    let ticks: u64 = pids.iter().filter_map(|pid| ticks_of(*pid)).sum();
    let per_second = rustix::param::clock_ticks_per_second();
    time::Duration::from_secs_f64(ticks as f64 / per_second.max(1) as f64)
}

/// Returns user and system time in clock ticks.
fn ticks_of(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, after_name) = stat.rsplit_once(") ")?;
    let mut times = after_name.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(user + system)
}
