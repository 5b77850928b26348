//! The planned stop of this entry, and the requests that are in flight meanwhile.

use std::{sync::atomic, time};

use mustardshed::core::{forward::planned_stop, ids};

use crate::forward::cx::Cx;

/// Time before the platform kills a stopping entry by which all requests have their responses, and
/// the entry closes its connections: as long as a small machine takes for that.
const KILL_MARGIN: time::Duration = time::Duration::from_millis(800);
/// Time before the kill at which the entry exits though connections are still open.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(300);
/// Interval at which waiting requests check whether the time of a planned stop is over.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl Cx {
    /// Begins the planned stop: callers are no longer pointed to this entry.
    pub fn begin_drain(&self) {
        self.begin_drain_at(self.now());
    }

    /// Begins the planned stop that was ordered at `at`.
    pub fn begin_drain_at(&self, at: ids::Timestamp) {
        self.drain_began.send_replace(Some(at));
    }

    /// Returns whether the planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain_began.borrow().is_some()
    }

    /// Returns the time since the planned stop began, if it did.
    #[must_use]
    pub fn draining_for(&self) -> Option<time::Duration> {
        let began = *self.drain_began.borrow();
        began.map(|began| self.now().saturating_sub(began))
    }

    /// Counts an admitted request.
    pub fn begin_request(&self) {
        self.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts the end of an admitted request.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Returns the number of admitted requests that have not ended.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }

    /// Records that the process ends now; requests that are dropped from here on are cut.
    pub fn begin_exit(&self) {
        self.is_exiting.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns whether the process ends now.
    #[must_use]
    pub fn is_exiting(&self) -> bool {
        self.is_exiting.load(atomic::Ordering::Relaxed)
    }

    /// Returns the time from the beginning of a planned stop within which requests are answered.
    #[must_use]
    pub fn drain_timeout(&self) -> time::Duration {
        self.settings.bounds.grace.saturating_sub(KILL_MARGIN)
    }

    /// Returns the longest duration of a planned stop.
    #[must_use]
    pub fn exit_timeout(&self) -> time::Duration {
        self.settings.bounds.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns the time by which all responses must be complete, if the planned stop has begun.
    #[must_use]
    pub fn stops_at(&self) -> Option<ids::Timestamp> {
        let began = *self.drain_began.borrow();
        began.map(|began| began + self.drain_timeout())
    }

    /// Waits until a planned stop has begun and the time to answer requests is over.
    pub async fn wait_for_drain_timeout(&self) {
        let mut began = self.drain_began.subscribe();
        // The sender lives as long as the context, so that this cannot fail.
        drop(began.wait_for(Option::is_some).await);
        loop {
            let since = self.draining_for().unwrap_or_default();
            let left = self.drain_timeout().saturating_sub(since);
            if left.is_zero() {
                return;
            }
            // Timers do not count the time for which the machine is suspended.
            tokio::time::sleep(left.min(DRAIN_CHECK_INTERVAL)).await;
        }
    }

    /// Returns whether a request that is given up after `longest` may begin at this entry.
    #[must_use]
    pub fn takes_call(&self, longest: time::Duration) -> bool {
        let left = self
            .draining_for()
            .map(|since| self.drain_timeout().saturating_sub(since));
        left.is_none_or(|left| planned_stop::accepts_call(left, longest))
    }

    /// Returns whether a stream that may last for `longest` may begin at this entry.
    #[must_use]
    pub fn takes_stream(&self, longest: time::Duration) -> bool {
        let Some(since) = self.draining_for() else {
            return true;
        };
        let left = self.drain_timeout().saturating_sub(since);
        let now = self.now();
        let has_others = self.state().live_entries.fronts(now).next().is_some();
        planned_stop::accepts_stream(since, left, has_others, longest)
    }
}
