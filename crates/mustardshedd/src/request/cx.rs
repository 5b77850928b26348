//! State that all requests of an entry share.

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
use tokio_util::{sync::CancellationToken, task};

use crate::{
    log::metrics,
    request::{accounts, lazy_map},
};

/// Hash slots for the recent routes of backend servers.
const RECENT_SLOTS: usize = 4_096;
/// Greatest number of prompt prefixes that are remembered.
const PREFIX_SLOTS: usize = 65_536;

/// State that all requests of an entry share.
#[derive(Debug)]
pub struct Cx {
    /// Handle of the control thread.
    pub control: sync::Arc<dyn control::Control>,
    /// Client of the backend servers.
    pub servers: sync::Arc<dyn backend_server::BackendServer>,
    /// Clock that also advances while the machine is suspended.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Retry budgets, by service.
    pub budgets: lazy_map::LazyMap<retry::Budget>,
    /// Prompt prefixes with the server that probably has each of them cached.
    pub prefixes: prefix::Table,
    /// Load that was routed since the snapshot was taken.
    pub recent: recent::RecentRoutes,
    /// Counts of running requests, by client account.
    pub accounts: accounts::Accounts,
    /// Metrics of the entry.
    pub metrics: metrics::Metrics,
    /// Policy by which backend servers are chosen.
    pub routing: settings::Routing,
    /// Tasks that write the fates of claimed requests.
    pub settlements: task::TaskTracker,
    seeds: atomic::AtomicU64,
    draining: CancellationToken,
    in_flight: atomic::AtomicUsize,
    max_in_flight: usize,
}

impl Cx {
    /// Creates the shared state of requests, of which at most `max_in_flight` run at once.
    ///
    /// `seed` is the first seed of routing's random draws.
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
            draining: CancellationToken::new(),
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

    /// Starts to refuse new requests.
    pub fn begin_drain(&self) {
        self.draining.cancel();
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.is_cancelled()
    }

    /// Returns whether this entry leaves, be it that new requests are still accepted or refused.
    pub fn is_leaving(&self) -> bool {
        self.is_draining() || self.control.snapshot().leaving
    }

    /// Waits until new requests are refused.
    pub async fn drain_begun(&self) {
        self.draining.cancelled().await;
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(atomic::Ordering::SeqCst)
    }

    /// Waits, for at most `timeout`, until the fates of all ended claimed requests are recorded.
    ///
    /// Returns the number of those that are not.
    pub async fn wait_for_settlements(&self, timeout: time::Duration) -> usize {
        self.settlements.close();
        drop(tokio::time::timeout(timeout, self.settlements.wait()).await);
        self.settlements.len()
    }

    /// Returns the greatest number of requests in flight.
    pub const fn max_in_flight(&self) -> usize {
        self.max_in_flight
    }

    /// Counts a request as in flight until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`error::ErrorKind::Leaving`] if new requests are refused, and
    /// [`error::ErrorKind::Overloaded`] if as many requests as allowed are in flight.
    pub fn enter(self: &sync::Arc<Self>) -> Result<InFlight, error::Error> {
        let before = self.in_flight.fetch_add(1, atomic::Ordering::SeqCst);
        let guard = InFlight {
            cx: sync::Arc::clone(self),
        };
        if self.is_draining() {
            return Err(leaving());
        }
        if before >= self.max_in_flight {
            return Err(error::Error::not_run(
                error::ErrorKind::Overloaded,
                "this entry has reached its limit of requests in flight",
            ));
        }
        Ok(guard)
    }
}

/// Returns the error of a request that arrived after the begin of the drain.
pub fn leaving() -> error::Error {
    error::Error::not_run(
        error::ErrorKind::Leaving,
        "this entry is leaving and refuses new requests; fetch the list of entries again",
    )
}

/// Guard of one request in flight; dropping it decrements the count.
#[derive(Debug)]
pub struct InFlight {
    cx: sync::Arc<Cx>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.cx.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
