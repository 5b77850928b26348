//! The boot clock.

use std::time;

use mustardshed::core::{boundary::clock, ids};
use rustix::time as system;

/// Clock that keeps running while the machine is suspended.
///
/// ```
/// use mustardshed::core::boundary::clock::Clock;
/// use mustardshedd::process::clock::BootClock;
///
/// let earlier = BootClock.now();
/// assert!(BootClock.now() >= earlier);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl clock::Clock for BootClock {
    fn now(&self) -> ids::Timestamp {
        let now = system::clock_gettime(system::ClockId::Boottime);
        let secs = u64::try_from(now.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
        time::Duration::new(secs, nanos)
    }
}
