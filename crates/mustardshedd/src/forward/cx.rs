//! What all requests, links and followers share.

use std::{
    sync::{self, atomic},
    time,
};

use mustardshed::{
    config::forwarding,
    core::{
        border::clock,
        forward::{
            head, live_entries, load_tracker, negative_cache, notices, placement, planned_stop,
            relays, rendezvous, retry_budget, routes, server,
        },
        ids,
    },
    platform::{objects, topic},
    wire::forward,
};
use tokio::sync as tokio_sync;

use crate::{
    forward::{job, metrics, peers, view},
    log::{self, event},
};

/// Part of the time allowed for a revocation after which keys are no longer accepted; the rest is
/// for what is on its way.
const REVOCATION_SHARE: f64 = 0.9;
/// Time before the kill at which an entry ends by itself: as long as a small machine takes to close
/// its connections.
const END_BEFORE_KILL: time::Duration = time::Duration::from_millis(800);
/// Time after its start within which an entry finds a relay, if one lives: as long as a leaf takes to
/// pass over one that does not answer.
const RELAY_ANSWERS_WITHIN: time::Duration = time::Duration::from_millis(1_200);
/// Part of the requests that a cold server bears which it is sent.
const COLD_SHARE: f64 = 0.9;

/// State that changes, behind one lock.
#[derive(Debug)]
pub struct State {
    /// What the platform holds.
    pub view: view::View,
    /// What is in flight.
    pub ledger: load_tracker::LoadTracker,
    /// What servers have asked for.
    pub notices: notices::Notices,
    /// Which entries are alive.
    pub roster: live_entries::LiveEntries,
    /// Which entries could be relays.
    pub relays: relays::Relays,
    /// Requests that may be sent again.
    pub budget: retry_budget::RetryBudget,
    /// Keys and paths that were lately looked for in vain.
    pub unknown: negative_cache::NegativeCache,
    /// Time as of which some request wants the configuration: what is known as of an earlier one is
    /// read anew.
    pub wanted_as_of: ids::Timestamp,
}

impl State {
    /// Returns a server that may be sent a request now.
    #[must_use]
    pub fn usable(&self, id: &str, now: ids::Timestamp) -> Option<&server::Server> {
        let server = self.view.usable(id, now)?;
        self.notices.allows(server, now).then_some(server)
    }

    /// Returns the shortest time after which a server of a service takes requests again that has
    /// asked for a time without, if there is one.
    fn back_off_left(&self, service: &str, now: ids::Timestamp) -> Option<time::Duration> {
        let servers = self.view.servers_of(service, now);
        let servers = servers.filter(|server| !self.notices.is_leaving(server));
        servers
            .filter_map(|server| self.notices.back_off_left(&server.id, now))
            .min()
    }

    /// Returns how well the work of the entries that are registered is known.
    fn knowledge(&self, now: ids::Timestamp) -> rendezvous::PeerVisibility {
        let registered = self.view.members().len();
        if self.roster.alive_count(now) + 1 < registered.div_ceil(2) {
            rendezvous::PeerVisibility::Partial
        } else if registered > relays::MAX_MESH_ENTRIES {
            rendezvous::PeerVisibility::ThroughRelays
        } else {
            rendezvous::PeerVisibility::Direct
        }
    }
}

/// Shared by all requests, links and followers of the process.
#[derive(Debug)]
pub struct Cx {
    /// Settings.
    pub settings: forwarding::Forwarding,
    /// Clock that goes on during a suspension.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Client of the platform.
    pub platform: objects::Objects,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Queues towards peers.
    pub peers: peers::Outbox,
    /// Woken when the configuration is wanted at once.
    pub look: tokio_sync::Notify,
    /// Woken when a leaf has read the configuration itself because its relay knew too little of it.
    pub asked: tokio_sync::Notify,
    /// Woken when the configuration was read.
    pub looked: tokio_sync::Notify,
    /// Woken when the platform answers again.
    pub returned: tokio_sync::Notify,
    state: sync::Mutex<State>,
    next_job: atomic::AtomicU64,
    started_at: ids::Timestamp,
    /// When the planned stop began, in microseconds; zero before.
    drain_began_us: atomic::AtomicU64,
}

/// What a request needs to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a routes::Service,
    /// Need of a request for an engine.
    pub need: placement::Need,
    /// Servers that were tried already.
    pub tried: &'a [ids::BackendServerId],
}

impl Cx {
    /// Makes the shared state of a process that knows nothing yet.
    #[must_use]
    pub fn new(
        settings: forwarding::Forwarding,
        clock: sync::Arc<dyn clock::Clock>,
        platform: objects::Objects,
        metrics: metrics::Metrics,
    ) -> Self {
        let limits = retry_budget::Limits {
            ratio: settings.bounds.retry_ratio,
            allowance: settings.bounds.retry_allowance,
            window: settings.bounds.retry_window,
        };
        Self {
            peers: peers::Outbox::new(&settings.vm),
            started_at: clock.now(),
            settings,
            clock,
            platform,
            metrics,
            look: tokio_sync::Notify::new(),
            asked: tokio_sync::Notify::new(),
            looked: tokio_sync::Notify::new(),
            returned: tokio_sync::Notify::new(),
            state: sync::Mutex::new(State {
                view: view::View::default(),
                ledger: load_tracker::LoadTracker::default(),
                notices: notices::Notices::default(),
                roster: live_entries::LiveEntries::default(),
                relays: relays::Relays::default(),
                budget: retry_budget::RetryBudget::new(limits),
                unknown: negative_cache::NegativeCache::default(),
                wanted_as_of: time::Duration::ZERO,
            }),
            next_job: atomic::AtomicU64::new(1),
            drain_began_us: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> ids::Timestamp {
        self.clock.now()
    }

    /// Locks the state; hold it briefly and never across an await.
    pub fn state(&self) -> sync::MutexGuard<'_, State> {
        // A thread that panicked left the state as consistent as any other moment does.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routes(&self) -> Option<sync::Arc<routes::Routes>> {
        self.state().view.routes().cloned()
    }

    /// Begins the planned stop: callers are no longer told of this entry.
    pub fn begin_drain(&self) {
        let now_us = forward::micros(self.now()).max(1);
        self.drain_began_us.store(now_us, atomic::Ordering::Relaxed);
    }

    /// Returns whether the planned stop has begun.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.drain_began_us.load(atomic::Ordering::Relaxed) > 0
    }

    /// Returns the time since the planned stop began, if it did.
    #[must_use]
    pub fn draining_for(&self) -> Option<time::Duration> {
        let began_us = self.drain_began_us.load(atomic::Ordering::Relaxed);
        let began = forward::timestamp(began_us);
        (began_us > 0).then(|| self.now().saturating_sub(began))
    }

    /// Returns the time from the beginning of a planned stop to its end at the latest.
    #[must_use]
    pub fn stop_time(&self) -> time::Duration {
        self.settings.bounds.grace.saturating_sub(END_BEFORE_KILL)
    }

    /// Returns whether a stream that lasts for `longest` may begin at this entry.
    #[must_use]
    pub fn takes_stream(&self, longest: time::Duration) -> bool {
        let Some(since) = self.draining_for() else {
            return true;
        };
        let left = self.stop_time().saturating_sub(since);
        let now = self.now();
        let has_others = self.state().roster.fronts(now).next().is_some();
        planned_stop::accepts_stream(since, left, has_others, longest)
    }

    /// Returns the greatest age of the configuration by which keys are accepted.
    #[must_use]
    pub fn key_limit(&self) -> time::Duration {
        if self.settings.bounds.fail_closed {
            self.settings.bounds.revocation.mul_f64(REVOCATION_SHARE)
        } else {
            time::Duration::MAX
        }
    }

    /// Returns whether callers should use this entry.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        let limit = self.key_limit();
        let now = self.now();
        let state = self.state();
        !self.is_draining()
            && state.view.routes().is_some()
            && state.view.revision(topic::Topic::Servers).is_some()
            && state.view.is_fresh(topic::Topic::Configuration, limit, now)
    }

    /// Returns what this entry says of itself.
    #[must_use]
    pub fn entry(&self) -> forward::Entry {
        forward::Entry {
            vm: self.settings.vm.clone(),
            front: self.settings.front.to_string(),
            data_centre: self.settings.data_centre.clone(),
            takes_work: self.takes_work(),
        }
    }

    /// Returns this entry as it registers.
    #[must_use]
    pub fn member(&self) -> relays::Member {
        relays::Member {
            peer_address: self.settings.peers.to_string(),
            data_centre: self.settings.data_centre.clone(),
            cpu_cores: self.settings.processor,
        }
    }

    /// Returns whether there are more entries than tell each other everything.
    #[must_use]
    pub fn is_large_fleet(&self) -> bool {
        self.state().view.members().len() > relays::MAX_MESH_ENTRIES
    }

    /// Returns whether this entry has just started and is to hear a relay soon.
    #[must_use]
    pub fn awaits_relay(&self) -> bool {
        let now = self.now();
        if now.saturating_sub(self.started_at) >= RELAY_ANSWERS_WITHIN {
            return false;
        }
        let state = self.state();
        let members = state.view.members();
        !state.relays.is_relay(&self.settings.vm, members, now)
    }

    /// Returns whether another entry may make this one its relay.
    #[must_use]
    pub fn takes_leaf(&self, leaf: &str) -> bool {
        let now = self.now();
        let hears_relay = self.peers.hears_relay();
        let state = self.state();
        let members = state.view.members();
        let own = &self.settings.vm;
        state
            .relays
            .accepts_leaf(own, leaf, hears_relay, members, now)
    }

    /// Returns the addresses of the entries that callers should use.
    #[must_use]
    pub fn fronts(&self) -> Vec<String> {
        let takes_work = self.takes_work();
        let own = self.settings.front.to_string();
        let now = self.now();
        let state = self.state();
        let mut fronts: Vec<String> = state.roster.fronts(now).map(|e| e.front.clone()).collect();
        if takes_work || fronts.is_empty() {
            fronts.push(own);
        }
        fronts
    }

    /// Places a request on the engines of its service and counts it there.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be placed.
    pub fn place(
        self: &sync::Arc<Self>,
        wanted: &Wanted<'_>,
    ) -> Result<(placement::Placed, job::Job), placement::NotPlaced> {
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        let greatest_bias = state.knowledge(now).max_bias();
        let servers = state.view.servers_of(&wanted.service.name, now);
        let servers = servers.filter(|server| {
            state.notices.allows(server, now) && !wanted.tried.contains(&server.id)
        });
        let candidates = servers.map(|server| placement::Candidate {
            server,
            is_local: server.data_centre == self.settings.data_centre,
            bias: greatest_bias * rendezvous::score(&self.settings.vm, &server.id),
            cold_rate_limit: wanted.service.cold_rate_limit.map(|rate| rate * COLD_SHARE),
        });
        let candidates: Vec<placement::Candidate<'_>> = candidates.collect();
        if candidates.is_empty()
            && let Some(retry_after) = state.back_off_left(&wanted.service.name, now)
        {
            return Err(placement::NotPlaced::BackedOff { retry_after });
        }
        let placed = match &wanted.service.engine {
            Some(profile) => {
                placement::place(&state.ledger, &candidates, profile, &wanted.need, now)?
            }
            None => {
                placement::Placed::plain(placement::least_loaded(&state.ledger, &candidates, now)?)
            }
        };
        let counted = placed.job(&wanted.need);
        let number = self.next_job.fetch_add(1, atomic::Ordering::Relaxed);
        let key = forward::job_key(&self.settings.vm, number);
        let started = forward::Message::Started {
            number,
            job: forward::Job::told(&counted, now),
        };
        state.ledger.start(key.clone(), counted, now);
        drop(guard);
        self.peers.send(&started);
        Ok((placed, job::Job::new(sync::Arc::clone(self), key)))
    }

    /// Returns the engines whose reports this entry reads, with their addresses.
    #[must_use]
    pub fn engines_to_ask(&self) -> Vec<(ids::BackendServerId, String)> {
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
        });
        let asked = engines.filter(|server| {
            let mine = rendezvous::score(own, &server.id);
            state
                .roster
                .alive(now)
                .all(|vm| rendezvous::score(vm, &server.id) <= mine)
        });
        let asked = asked.map(|server| (server.id.clone(), server.address.clone()));
        asked.collect()
    }

    /// Takes that a server could not be reached, and tells the peers.
    pub fn unreachable(&self, server: &str) {
        let now = self.now();
        self.state()
            .ledger
            .health_mut(server)
            .record_unreachable(now);
        self.peers.send(&forward::Message::Unreachable {
            server: server.to_owned(),
        });
    }

    /// Takes what a server says of itself in an answer, whatever it answers.
    pub fn answered_by(&self, server: &str, head: &head::ResponseHead) {
        // Another server's answer says nothing of the one that was meant.
        if head.is_misdirected {
            return;
        }
        if head.is_leaving {
            self.leaving(server);
        }
        match &head.back_off {
            Some(head::BackOff::For(wait)) => self.back_off(server, *wait),
            Some(head::BackOff::Invalid(value)) => {
                log::emit(&event::Event::BackOffNotUnderstood { server, value });
            }
            None => {}
        }
    }

    /// Takes that a server leaves, and tells the peers.
    fn leaving(&self, server: &str) {
        let now = self.now();
        let mut state = self.state();
        let born = state
            .view
            .listed_server(server)
            .and_then(|server| server.started_unix_ms);
        let is_news = state.notices.record_leaving(server, born, now);
        drop(state);
        if is_news {
            log::emit(&event::Event::ServerLeaving { server });
            self.peers.send(&forward::Message::Leaving {
                server: server.to_owned(),
                born,
            });
        }
    }

    /// Takes that a server wants nothing from this entry for a while; others it may serve.
    fn back_off(&self, server: &str, wait: time::Duration) {
        let now = self.now();
        let taken = self.state().notices.record_back_off(server, wait, now);
        log::emit(&event::Event::BackedOff {
            server,
            wait_ms: taken.as_millis(),
            asked_ms: wait.as_millis(),
        });
    }

    /// Takes that a server is cold, and tells the peers.
    pub fn cold(&self, server: &str, left: time::Duration) {
        let now = self.now();
        let mut state = self.state();
        let health = state.ledger.health_mut(server);
        let was_cold = health.is_cold(now);
        health.set_cold(now + left);
        drop(state);
        if !was_cold && !left.is_zero() {
            self.peers.send(&forward::Message::Cold {
                server: server.to_owned(),
                left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            });
        }
    }

    /// Takes a repeat for a service out of the budget; returns whether there was one.
    pub fn may_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let mut guard = self.state();
        let state = &mut *guard;
        let registered = state
            .view
            .members()
            .len()
            .max(state.roster.alive_count(now) + 1);
        state.budget.try_take(service, registered, now)
    }
}
