//! State that all requests, peer links and reflectors of the process share.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use mustardshed::{
    config::forwarding,
    core::{
        boundary::clock,
        forward::{
            account_shares, acquaintance as core_acquaintance, advertised_limits, engine,
            hedging as core_hedging, live_entries, load_tracker, negative_cache, notices,
            paths as core_paths, placement, quarantine, rate_shares, relays, rendezvous,
            repeated_crashes, retry_budget, routes, server,
        },
        ids,
    },
    platform::{objects, topic},
    wire::forward,
};
use tokio::sync as tokio_sync;

use crate::forward::{job, memory, metrics, peers, view};

mod accounts;
mod acquaintance;
pub mod crashes;
mod drain;
mod hedging;
mod paths;
pub mod server_reports;
mod withdrawal;

/// Share of the time allowed for a revocation to take effect after which keys are no longer
/// accepted; the rest covers requests that are already on their way.
const REVOCATION_SHARE: f64 = 0.9;
/// Time after its start within which an entry finds a relay if one is alive: as long as a leaf
/// takes to give up one that does not answer and try the next.
const RELAY_ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);
/// Share of a cold server's request rate limit that is used.
const COLD_SHARE: f64 = 0.9;

/// Mutable state behind one lock.
#[derive(Debug)]
pub struct State {
    /// Platform state as last read.
    pub view: view::View,
    /// Requests in flight, of all entries.
    pub loads: load_tracker::LoadTracker,
    /// Back-off periods and shutdowns that servers announced.
    pub notices: notices::Notices,
    /// Which servers this entry reaches by itself.
    pub paths: core_paths::Paths,
    /// Servers that are checked for whether they can be reached.
    pub reach_checks: collections::HashSet<ids::BackendServerId>,
    /// Servers that are checked for a crash.
    pub crash_checks: collections::HashMap<ids::BackendServerId, crashes::Check>,
    /// Prompt parts that crash servers.
    pub quarantine: quarantine::Quarantine,
    /// Requests that crash a server each time they are repeated.
    pub repeated_crashes: repeated_crashes::RepeatedCrashes,
    /// Rate limits that servers advertise.
    pub advertised_limits: advertised_limits::AdvertisedLimits,
    /// Shares of this entry in what servers accept from all entries.
    pub rate_shares: rate_shares::RateShares,
    /// Accounts that were lately over their share.
    pub over_share: account_shares::Episodes,
    /// Which entries are alive.
    pub live_entries: live_entries::LiveEntries,
    /// Which peers have told this entry of their requests since its start.
    pub acquaintance: core_acquaintance::Acquaintance,
    /// Which entries may act as relays.
    pub relays: relays::Relays,
    /// Retry budget.
    pub retry_budget: retry_budget::RetryBudget,
    /// Usual answer times and second attempts, if the settings allow these.
    pub hedging: Option<core_hedging::Hedging>,
    /// Keys and paths recently found to be unknown.
    pub negative_cache: negative_cache::NegativeCache,
    /// Time as of which some request needs the configuration; if it was last confirmed as of an
    /// earlier time, it is read again.
    pub required_as_of: ids::Timestamp,
}

impl State {
    /// Returns the server if it may be sent requests now.
    #[must_use]
    pub fn usable(&self, id: &str, now: ids::Timestamp) -> Option<&server::Server> {
        let server = self.view.usable(id, now)?;
        self.notices.allows(server, now).then_some(server)
    }

    /// Returns the speed of a server's engines; none for a server that is not listed or has none.
    #[must_use]
    pub fn engine_of(&self, server: &str) -> Option<&engine::Profile> {
        let server = self.view.listed_server(server)?;
        let service = self.view.routes()?.service(&server.service)?;
        service.engine.as_ref()
    }

    /// Returns the shortest remaining back-off among the servers of a service, without those that
    /// are shutting down; none if no server has asked for one.
    fn remaining_back_off(&self, service: &str, now: ids::Timestamp) -> Option<time::Duration> {
        let servers = self.view.servers_of(service, now);
        let servers = servers.filter(|server| !self.notices.is_leaving(server));
        servers
            .filter_map(|server| self.notices.back_off_left(&server.id, now))
            .min()
    }

    /// Returns how completely this entry knows the load that the registered entries place.
    fn peer_visibility(&self, now: ids::Timestamp) -> rendezvous::PeerVisibility {
        let registered = self.view.members().len();
        if self.live_entries.alive_count(now) + 1 < registered.div_ceil(2) {
            rendezvous::PeerVisibility::Partial
        } else if registered > relays::MAX_MESH_ENTRIES {
            rendezvous::PeerVisibility::ThroughRelays
        } else {
            rendezvous::PeerVisibility::Direct
        }
    }
}

/// State shared by all requests, links and reflectors of the process.
#[derive(Debug)]
pub struct Cx {
    /// Settings.
    pub settings: forwarding::Forwarding,
    /// Clock that keeps running while the process is suspended.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Client of the platform.
    pub platform: objects::Objects,
    /// Memory for what others send.
    pub memory: memory::Budget,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Outgoing queues to peers.
    pub peers: peers::Outbox,
    /// Notified when the configuration must be read at once.
    pub refresh: tokio_sync::Notify,
    /// Wakes the reflector of the servers to list them anew.
    pub servers_refresh: tokio_sync::Notify,
    /// Notified when a leaf has read the configuration from the platform because its relay's was
    /// too old.
    pub relay_bypassed: tokio_sync::Notify,
    /// Notified when the configuration was read.
    pub refreshed: tokio_sync::Notify,
    /// Notified when a read of the configuration gets no answer, as other reads then may not either.
    pub platform_silent: tokio_sync::Notify,
    /// Notified when the platform answers again after an outage.
    pub platform_recovered: tokio_sync::Notify,
    /// Notified when prompt parts or requests are quarantined.
    pub quarantined: tokio_sync::Notify,
    state: sync::Mutex<State>,
    next_job: atomic::AtomicU64,
    started_at: ids::Timestamp,
    /// When the planned stop began, if it did.
    drain_began: tokio_sync::watch::Sender<Option<ids::Timestamp>>,
    /// Requests that have been admitted and have not ended.
    in_flight: atomic::AtomicUsize,
    /// Tunnels to servers that peers have opened through this entry.
    tunnels: atomic::AtomicUsize,
    /// Whether the process ends now, whatever is in flight.
    is_exiting: atomic::AtomicBool,
}

/// Request for a server of a service.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose servers are candidates.
    pub service: &'a routes::Service,
    /// What the request needs of an engine.
    pub need: placement::Need,
    /// Servers already tried, which are left out.
    pub tried: &'a [ids::BackendServerId],
    /// Account of the request, if it has one.
    pub account: Option<&'a str>,
}

impl Cx {
    /// Creates the shared state of a process that has read nothing yet.
    #[must_use]
    pub fn new(
        settings: forwarding::Forwarding,
        clock: sync::Arc<dyn clock::Clock>,
        platform: objects::Objects,
        memory: memory::Budget,
        metrics: metrics::Metrics,
    ) -> Self {
        let limits = retry_budget::Limits {
            ratio: settings.bounds.retry_ratio,
            allowance: settings.bounds.retry_allowance,
            window: settings.bounds.retry_window,
        };
        let loads = accounts::load_tracker(&settings);
        let hedging = hedging::open(&settings);
        let started_at = clock.now();
        Self {
            peers: peers::Outbox::new(&settings.vm, sync::Arc::clone(&clock)),
            started_at,
            settings,
            clock,
            platform,
            memory,
            metrics,
            refresh: tokio_sync::Notify::new(),
            servers_refresh: tokio_sync::Notify::new(),
            relay_bypassed: tokio_sync::Notify::new(),
            refreshed: tokio_sync::Notify::new(),
            platform_silent: tokio_sync::Notify::new(),
            platform_recovered: tokio_sync::Notify::new(),
            quarantined: tokio_sync::Notify::new(),
            state: sync::Mutex::new(State {
                view: view::View::default(),
                loads,
                notices: notices::Notices::default(),
                paths: core_paths::Paths::default(),
                reach_checks: collections::HashSet::new(),
                crash_checks: collections::HashMap::new(),
                quarantine: quarantine::Quarantine::default(),
                repeated_crashes: repeated_crashes::RepeatedCrashes::default(),
                advertised_limits: advertised_limits::AdvertisedLimits::default(),
                rate_shares: rate_shares::RateShares::default(),
                over_share: account_shares::Episodes::default(),
                live_entries: live_entries::LiveEntries::default(),
                acquaintance: core_acquaintance::Acquaintance::new(started_at),
                relays: relays::Relays::default(),
                retry_budget: retry_budget::RetryBudget::new(limits),
                hedging,
                negative_cache: negative_cache::NegativeCache::default(),
                required_as_of: time::Duration::ZERO,
            }),
            // Peers may still know requests of an earlier run of this entry, which had other numbers.
            next_job: atomic::AtomicU64::new(rand::random::<u32>().into()),
            drain_began: tokio_sync::watch::Sender::new(None),
            in_flight: atomic::AtomicUsize::new(0),
            tunnels: atomic::AtomicUsize::new(0),
            is_exiting: atomic::AtomicBool::new(false),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> ids::Timestamp {
        self.clock.now()
    }

    /// Locks the state; hold it briefly and never across an await.
    pub fn state(&self) -> sync::MutexGuard<'_, State> {
        // A panic leaves the state as consistent as it is at any other moment, so poison is
        // ignored.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<sync::Arc<routes::Routes>> {
        self.state().view.routes().cloned()
    }

    /// Returns the greatest age of the configuration at which keys are accepted.
    #[must_use]
    pub fn max_key_age(&self) -> time::Duration {
        if self.settings.bounds.fail_closed {
            self.settings.bounds.revocation.mul_f64(REVOCATION_SHARE)
        } else {
            time::Duration::MAX
        }
    }

    /// Returns whether callers should use this entry.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let limit = self.max_key_age();
        let now = self.now();
        let state = self.state();
        !self.is_draining()
            && state.view.routes().is_some()
            && state.view.position(topic::Topic::Servers).is_some()
            && state.view.is_configuration_fresh(limit, now)
    }

    /// Returns this entry as it describes itself to peers.
    #[must_use]
    pub fn entry(&self) -> forward::Entry {
        forward::Entry {
            vm: self.settings.vm.clone(),
            front: self.settings.front.to_string(),
            data_centre: self.settings.data_centre.clone(),
            takes_work: self.takes_work(),
            is_cut_off: self.is_cut_off(),
        }
    }

    /// Returns this entry as it registers on the platform.
    #[must_use]
    pub fn member(&self) -> relays::Member {
        relays::Member {
            peer_address: self.settings.peers.to_string(),
            data_centre: self.settings.data_centre.clone(),
            cpu_cores: self.settings.processor,
        }
    }

    /// Returns whether there are too many entries for a full mesh.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        self.state().view.members().len() > relays::MAX_MESH_ENTRIES
    }

    /// Returns whether this entry has just started and waits for a relay to answer.
    #[must_use]
    pub fn awaits_relay(&self) -> bool {
        let now = self.now();
        if now.saturating_sub(self.started_at) >= RELAY_ANSWER_TIMEOUT {
            return false;
        }
        let state = self.state();
        let members = state.view.members();
        !state.relays.is_relay(&self.settings.vm, members, now)
    }

    /// Returns whether another entry may use this one as its relay.
    #[must_use]
    pub fn takes_leaf(&self, leaf: &str) -> bool {
        let now = self.now();
        let has_relay = self.peers.has_relay();
        let state = self.state();
        let members = state.view.members();
        let own = &self.settings.vm;
        state
            .relays
            .accepts_leaf(own, leaf, has_relay, members, now)
    }

    /// Returns the addresses of the entries that callers should use. This entry's own is among them
    /// if it takes work or no other entry does.
    #[must_use]
    pub fn fronts(&self) -> Vec<String> {
        let takes_work = self.takes_work();
        let own = self.settings.front.to_string();
        let now = self.now();
        let state = self.state();
        let mut fronts: Vec<String> = state
            .live_entries
            .fronts(now)
            .map(|e| e.front.clone())
            .collect();
        if takes_work || fronts.is_empty() {
            fronts.push(own);
        }
        fronts
    }

    /// Chooses servers for a request and counts it as in flight there.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be placed.
    pub fn place(
        self: &sync::Arc<Self>,
        wanted: &PlacementRequest<'_>,
    ) -> Result<(placement::Placed, job::JobGuard), placement::NotPlaced> {
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        let max_bias = state.peer_visibility(now).max_bias();
        let servers = state.view.servers_of(&wanted.service.name, now);
        let servers = servers.filter(|server| {
            state.notices.allows(server, now) && !wanted.tried.contains(&server.id)
        });
        let sharers = rate_shares::Sharers {
            own: &self.settings.vm,
            members: state.view.members(),
            revision: state.view.members_revision(),
        };
        let cold_rate = wanted.service.cold_rate_limit;
        let candidates = servers.map(|server| {
            let is_cold = state.loads.health(&server.id).is_cold(now);
            let cold = cold_rate.filter(|_| is_cold).map(rate_shares::Limit::cold);
            let advertised = state.advertised_limits.per_s(&server.id, now);
            let advertised =
                advertised.map(|per_s| rate_shares::Limit::advertised(per_s, sharers.members));
            let limits = cold.into_iter().chain(advertised);
            placement::Candidate {
                server,
                is_local: server.data_centre == self.settings.data_centre,
                bias: max_bias * rendezvous::score(&self.settings.vm, &server.id),
                cold_rate_limit: cold_rate.map(|rate| rate * COLD_SHARE),
                share_left: limits
                    .map(|limit| state.rate_shares.left(&server.id, limit, sharers, now))
                    .min(),
                is_rate_limited: advertised.is_some(),
            }
        });
        let candidates: Vec<placement::Candidate<'_>> = candidates.collect();
        if candidates.is_empty()
            && let Some(retry_after) = state.remaining_back_off(&wanted.service.name, now)
        {
            return Err(placement::NotPlaced::BackedOff { retry_after });
        }
        let standing = accounts::standing(&state.loads, wanted, &candidates);
        let need = standing.limit(&wanted.need)?;
        let placed = match &wanted.service.engine {
            Some(profile) => placement::place(&state.loads, &candidates, profile, &need, now)
                .map_err(|e| standing.explain(e, &wanted.need))?,
            None => {
                placement::Placed::plain(placement::least_loaded(&state.loads, &candidates, now)?)
            }
        };
        let mut in_flight = placed.job(&wanted.need);
        in_flight.account = accounts::counted(&state.loads, wanted);
        let number = self.next_job.fetch_add(1, atomic::Ordering::Relaxed);
        let key = forward::job_key(&self.settings.vm, number);
        state.rate_shares.record_sent(&in_flight.primary, now);
        let in_flight = state.loads.send(&key, in_flight, now);
        let started = forward::Message::Started {
            number,
            job: forward::Job::new(&in_flight, now),
        };
        drop(guard);
        self.peers.send(&started);
        Ok((placed, job::JobGuard::new(sync::Arc::clone(self), key)))
    }

    /// Returns the engines whose reports this entry reads, with their addresses: those that prefer
    /// this entry to every other live one.
    #[must_use]
    pub fn engines_to_poll(&self) -> Vec<(ids::BackendServerId, String)> {
        let now = self.now();
        let state = self.state();
        let Some(routes) = state.view.routes() else {
            return Vec::new();
        };
        let own = &self.settings.vm;
        let engines = state.view.servers().filter(|server| {
            let service = routes.service(&server.service);
            service.is_some_and(|service| service.engine.is_some())
                && state.notices.allows(server, now)
                && state.advertised_limits.per_s(&server.id, now).is_none()
        });
        let polled = engines.filter(|server| {
            let mine = rendezvous::score(own, &server.id);
            state
                .live_entries
                .alive(now)
                .all(|vm| rendezvous::score(vm, &server.id) <= mine)
        });
        let polled = polled.map(|server| (server.id.clone(), server.address.clone()));
        polled.collect()
    }
}
