//! CPU time of processes, from the system's process table.

use std::{fs, path, time};

/// Fields after the name of the process up to the user time.
const USER_TIME_FIELD: usize = 11;

/// Returns the CPU time that processes have used; ended ones count as zero.
pub(crate) fn used_by(pids: &[u32]) -> time::Duration {
    let file = |pid: &u32| path::PathBuf::from(format!("/proc/{pid}/stat"));
    duration_of(pids.iter().filter_map(|pid| ticks_of(&file(pid))).sum())
}

/// Returns the CPU time that the threads of a name have used in a process.
pub(crate) fn used_by_threads(pid: u32, name: &str) -> time::Duration {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).ok();
    let threads = threads.into_iter().flatten().flatten();
    let is_named = |thread: &fs::DirEntry| {
        fs::read_to_string(thread.path().join("comm")).is_ok_and(|comm| comm.trim() == name)
    };
    let stats = threads
        .filter(is_named)
        .map(|thread| thread.path().join("stat"));
    duration_of(stats.filter_map(|file| ticks_of(&file)).sum())
}

fn duration_of(ticks: u64) -> time::Duration {
    let per_second = rustix::param::clock_ticks_per_second();
    time::Duration::from_secs_f64(ticks as f64 / per_second.max(1) as f64)
}

/// Returns user and system time in clock ticks.
fn ticks_of(stat: &path::Path) -> Option<u64> {
    let stat = fs::read_to_string(stat).ok()?;
    let (_, after_name) = stat.rsplit_once(") ")?;
    let mut times = after_name.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(user + system)
}
