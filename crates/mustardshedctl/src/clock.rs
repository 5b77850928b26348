//! The clock of the program.

use std::{sync, time};

use mustardshed::core::{boundary::clock, ids};

/// Clock that goes on while the machine is suspended.
///
/// It shows the greater of what the monotonic clock, which stands still meanwhile, and the wall
/// clock, which may be set, show since its first use.
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
