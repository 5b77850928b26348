//! CPU time of processes and threads, from `/proc`.

use std::{fs, path, time};

/// Index of the user time among the fields after the name of the process.
const USER_TIME_FIELD: usize = 11;

/// Returns the total CPU time of processes; those that have exited count as zero.
pub(crate) fn used_by(pids: &[u32]) -> time::Duration {
    let file = |pid: &u32| path::PathBuf::from(format!("/proc/{pid}/stat"));
    duration_of(pids.iter().filter_map(|pid| ticks_of(&file(pid))).sum())
}

/// Returns the total CPU time of the threads with a given name in a process.
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
