//! Timer that bounds the wait between two arrivals.
//!
//! ```
//! use std::time;
//!
//! use mustardshedd::connection::idle_timer;
//!
//! # async fn example() {
//! let mut timer = idle_timer::IdleTimer::new(time::Duration::from_secs(1));
//! if timer.wait_for(async { "arrived" }).await.is_some() {
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

/// Timer that bounds the wait between two arrivals and is restarted at each of them.
///
/// A restart usually only stores the new deadline: the runtime's timer is set once for many
/// arrivals, whereas `tokio::time::timeout` would set one for each.
#[derive(Debug)]
pub struct IdleTimer {
    deadline: clock::Instant,
    timer: Pin<Box<clock::Sleep>>,
}

impl IdleTimer {
    /// Starts the timer; the first wait may take up to `timeout`.
    pub fn new(timeout: time::Duration) -> Self {
        let deadline = clock::Instant::now() + timeout;
        Self {
            deadline,
            timer: Box::pin(clock::sleep_until(deadline)),
        }
    }

    /// Restarts the timer; the next wait may take up to `timeout`.
    pub fn restart(&mut self, timeout: time::Duration) {
        self.deadline = clock::Instant::now() + timeout;
        if self.deadline < self.timer.deadline() {
            self.timer.as_mut().reset(self.deadline);
        }
    }

    /// Polls whether the current wait has timed out.
    pub fn poll_elapsed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            task::ready!(self.timer.as_mut().poll(cx));
            if self.timer.deadline() >= self.deadline {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(self.deadline);
        }
    }

    /// Waits for `arrival`; returns `None` if the wait times out first.
    pub async fn wait_for<F: Future>(&mut self, arrival: F) -> Option<F::Output> {
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
