//! The system clock.

use std::{sync, time};

use mustardshed::core::{boundary::clock, ids};

/// Clock that also advances while the machine is suspended.
///
/// It returns the time since its first use, by the monotonic clock or the wall clock, whichever
/// shows more: the monotonic clock stops during suspension, and the wall clock may be set.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

static START: sync::LazyLock<(time::Instant, time::SystemTime)> =
    sync::LazyLock::new(|| (time::Instant::now(), time::SystemTime::now()));

impl clock::Clock for SystemClock {
    fn now(&self) -> ids::Timestamp {
        let (monotonic, wall) = *START;
        monotonic.elapsed().max(wall.elapsed().unwrap_or_default())
    }
}
