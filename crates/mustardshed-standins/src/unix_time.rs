//! Wall-clock time for the records, comparable between the processes of one machine.

use std::time;

/// Returns the number of milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
