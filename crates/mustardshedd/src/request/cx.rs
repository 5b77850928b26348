//! What all requests of an entry share.

use std::{
    sync::{self, atomic},
    time,
};

use mustardshed::{
    config::settings,
    core::{
        boundary::{backend_server, clock, control},
        error, ids,
        request::{prefix, retry, route::recent},
    },
};
use tokio_util::task;

use crate::{
    log::metrics,
    request::{accounts, lazy_map},
};

/// Slots for backend servers that were routed to.
const RECENT_SLOTS: usize = 4_096;
/// Prompt prefixes that are remembered at most.
const PREFIX_SLOTS: usize = 65_536;

/// What all requests of an entry share.
#[derive(Debug)]
pub struct Cx {
    /// Control thread.
    pub control: sync::Arc<dyn control::Control>,
    /// Backend servers.
    pub servers: sync::Arc<dyn backend_server::BackendServer>,
    /// Clock that also counts suspension.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Retry budgets, by service.
    pub budgets: lazy_map::LazyMap<retry::Budget>,
    /// Which server is believed to hold which prompt prefix.
    pub prefixes: prefix::Table,
    /// What was routed since the snapshot was taken.
    pub recent: recent::RecentRoutes,
    /// Running requests, by client account.
    pub accounts: accounts::Accounts,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Policy by which backend servers are chosen.
    pub routing: settings::Routing,
    /// Records of the fates of claimed requests that are being written.
    pub settlements: task::TaskTracker,
    seeds: atomic::AtomicU64,
    draining: atomic::AtomicBool,
    in_flight: atomic::AtomicUsize,
    max_in_flight: usize,
}

impl Cx {
    /// Makes the shared state of an entry's requests, of which at most `max_in_flight` run at once.
    ///
    /// `seed` starts the random draws of routing.
    pub fn new(
        control: sync::Arc<dyn control::Control>,
        servers: sync::Arc<dyn backend_server::BackendServer>,
        clock: sync::Arc<dyn clock::Clock>,
        metrics: metrics::Metrics,
        max_in_flight: usize,
        seed: u64,
    ) -> Self {
        Self {
            control,
            servers,
            clock,
            budgets: lazy_map::LazyMap::default(),
            prefixes: prefix::Table::new(PREFIX_SLOTS),
            recent: recent::RecentRoutes::new(RECENT_SLOTS),
            accounts: accounts::Accounts::default(),
            metrics,
            routing: settings::Routing::default(),
            settlements: task::TaskTracker::new(),
            seeds: atomic::AtomicU64::new(seed),
            draining: atomic::AtomicBool::new(false),
            in_flight: atomic::AtomicUsize::new(0),
            max_in_flight,
        }
    }

    /// Sets the policy by which backend servers are chosen.
    #[must_use]
    pub const fn routing(mut self, routing: settings::Routing) -> Self {
        self.routing = routing;
        self
    }

    /// Returns the seed of the next random draw.
    pub fn next_seed(&self) -> u64 {
        self.seeds.fetch_add(1, atomic::Ordering::Relaxed)
    }

    /// Waits until `time` on the entry's clock.
    pub async fn sleep_until(&self, time: ids::Timestamp) {
        loop {
            let left = time.saturating_sub(self.clock.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left).await;
        }
    }

    /// Refuses new work from now on.
    pub fn begin_drain(&self) {
        self.draining.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(atomic::Ordering::SeqCst)
    }

    /// Returns the number of requests that are being carried.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(atomic::Ordering::SeqCst)
    }

    /// Waits, for at most `patience`, until the fates of all claimed requests that have ended are
    /// recorded; returns how many are not.
    pub async fn wait_for_settlements(&self, patience: time::Duration) -> usize {
        self.settlements.close();
        drop(tokio::time::timeout(patience, self.settlements.wait()).await);
        self.settlements.len()
    }

    /// Returns the number of requests that may be carried at once.
    pub const fn max_in_flight(&self) -> usize {
        self.max_in_flight
    }

    /// Counts one more request until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`error::ErrorKind::Leaving`] if new work is refused, and
    /// [`error::ErrorKind::Overloaded`] if too many requests are being carried.
    pub fn enter(self: &sync::Arc<Self>) -> Result<InFlight, error::Error> {
        let before = self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        let guard = InFlight {
            cx: sync::Arc::clone(self),
        };
        if self.is_draining() {
            return Err(error::Error::not_run(
                error::ErrorKind::Leaving,
                "this entry takes no new work; ask for the entries again",
            ));
        }
        if before >= self.max_in_flight {
            return Err(error::Error::not_run(
                error::ErrorKind::Overloaded,
                "this entry carries as many requests as it can",
            ));
        }
        Ok(guard)
    }
}

/// One request that is being carried; dropping it counts one less.
#[derive(Debug)]
pub struct InFlight {
    cx: sync::Arc<Cx>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.cx.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
