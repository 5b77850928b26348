//! Timer of a wait that begins anew with every arrival.
//!
//! ```
//! use std::time;
//!
//! use mustardshedd::connection::idle_timer;
//!
//! # async fn example() {
//! let mut timer = idle_timer::IdleTimer::new(time::Duration::from_secs(1));
//! if timer.bound(async { "arrived" }).await.is_some() {
//!     timer.restart(time::Duration::from_secs(1));
//! }
//! # }
//! ```

use std::{
    future,
    pin::{self, Pin},
    task::{self, Context, Poll},
    time,
};

use tokio::time as clock;

/// Timer of a wait that begins anew with every arrival.
///
/// A restart only notes the time. The runtime's timer is set once for many arrivals, where a
/// timeout of its own for each of them would be set and removed every time.
#[derive(Debug)]
pub struct IdleTimer {
    due: clock::Instant,
    timer: Pin<Box<clock::Sleep>>,
}

impl IdleTimer {
    /// Begins a wait of at most `limit`.
    pub fn new(limit: time::Duration) -> Self {
        let due = clock::Instant::now() + limit;
        Self {
            due,
            timer: Box::pin(clock::sleep_until(due)),
        }
    }

    /// Begins the wait anew, of at most `limit`.
    pub fn restart(&mut self, limit: time::Duration) {
        self.due = clock::Instant::now() + limit;
        if self.due < self.timer.deadline() {
            self.timer.as_mut().reset(self.due);
        }
    }

    /// Polls for the end of the wait.
    pub fn poll_elapsed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            task::ready!(self.timer.as_mut().poll(cx));
            if self.timer.deadline() >= self.due {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(self.due);
        }
    }

    /// Waits for `arrival`; nothing if the wait ends before.
    pub async fn bound<F: Future>(&mut self, arrival: F) -> Option<F::Output> {
        let mut arrival = pin::pin!(arrival);
        future::poll_fn(|cx| {
            if let Poll::Ready(output) = arrival.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            self.poll_elapsed(cx).map(|()| None)
        })
        .await
    }
}
