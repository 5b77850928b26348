//! A clock that can be set forward, as if the process had been suspended.

use std::{sync::atomic, time};

use mustardshed::core::{boundary::clock, ids};

/// Monotonic clock with an offset.
#[derive(Debug)]
pub struct FakeClock {
    start: time::Instant,
    ahead_ms: atomic::AtomicU64,
}

impl FakeClock {
    pub fn new() -> Self {
        Self {
            start: time::Instant::now(),
            ahead_ms: atomic::AtomicU64::new(1_000),
        }
    }

    /// Sets the clock forward.
    pub fn advance(&self, by: time::Duration) {
        let millis = u64::try_from(by.as_millis()).unwrap();
        self.ahead_ms.fetch_add(millis, atomic::Ordering::SeqCst);
    }
}

impl clock::Clock for FakeClock {
    fn now(&self) -> ids::Timestamp {
        let ahead = self.ahead_ms.load(atomic::Ordering::SeqCst);
        self.start.elapsed() + time::Duration::from_millis(ahead)
    }
}
