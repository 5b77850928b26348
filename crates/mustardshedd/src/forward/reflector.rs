//! Keeps one kind of the platform's objects up to date: a list, then watches.
//!
//! A leaf of a large fleet lists a kind once and then gets it from its relay, as long as the
//! relay's data is recent enough.

use std::{ops, sync, time};

use mustardshed::{
    core::{forward::fallback_reads, ids},
    platform::{decode, objects, topic},
};

use crate::{
    forward::{cx, view},
    log::{self, event},
};

/// Shortest delay after a failed call.
const MIN_BACKOFF: time::Duration = time::Duration::from_millis(80);
/// Longest delay after a failed call for the configuration; short, so that the end of an outage is
/// noticed soon.
const MAX_CONFIGURATION_BACKOFF: time::Duration = time::Duration::from_millis(700);
/// Longest delay for other kinds, which are notified of the recovery by that call.
const MAX_BACKOFF: time::Duration = time::Duration::from_secs(3);
/// Longest wait of a watch when no peer is alive that would report a missed change.
const WATCH_WITHOUT_PEERS: time::Duration = time::Duration::from_millis(1_300);

/// Interval at which a starting entry checks whether a relay has answered.
const RELAY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Interval at which a leaf checks its registration.
const REGISTRATION_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// Range of the share of the usual watch time that a relay's watch waits.
const RELAY_WATCH_SHARE: ops::Range<f64> = 0.7..1.0;
/// Interval at which a leaf checks the age of its relay's data.
const AGE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Delay after a change before a relay watches again, so that a burst of changes is read at once;
/// its leaves learn from it up to which revision there is something to read.
const RELAY_BATCH_DELAY: time::Duration = time::Duration::from_millis(150);
/// The same for all entries after a registration: a whole fleet starts at once, and no request
/// depends on the list of entries.
const ENTRIES_BATCH_DELAY: time::Duration = time::Duration::from_millis(300);

/// Returns how long a watch may wait. Peers report changes that it misses and the age of their
/// data, so each entry needs to call the platform less often than it would alone.
const fn watch_timeout(topic: topic::Topic) -> time::Duration {
    match topic {
        // A read confirms the data as of the beginning of the call, so its age grows to twice this.
        topic::Topic::Configuration => WATCH_WITHOUT_PEERS,
        topic::Topic::Servers => time::Duration::from_millis(4_000),
        topic::Topic::Outages => time::Duration::from_millis(5_000),
        topic::Topic::Entries => time::Duration::from_millis(8_000),
    }
}

/// Keeps one kind up to date for as long as the process runs.
pub async fn run(cx: sync::Arc<cx::Cx>, topic: topic::Topic) {
    let mut reflector = Reflector {
        cx,
        topic,
        backoff: time::Duration::ZERO,
        fallback_reads: fallback_reads::FallbackReads::default(),
        is_lost: false,
    };
    loop {
        reflector.step().await;
    }
}

struct Reflector {
    cx: sync::Arc<cx::Cx>,
    topic: topic::Topic,
    backoff: time::Duration,
    fallback_reads: fallback_reads::FallbackReads,
    is_lost: bool,
}

impl Reflector {
    async fn step(&mut self) {
        let wants_all = self.wait_while_relay_serves().await;
        let begun_at = self.cx.now();
        // Fetched on each step, because a peer may have delivered a later one.
        let position = self.cx.state().view.position(self.topic);
        let result = match position {
            Some(position) if !self.is_lost && !wants_all => self.watch(position).await,
            _ => self.list().await,
        };
        match result {
            Ok(read) => {
                if !self.apply(read, begun_at).await {
                    // A peer has delivered later data, or the platform answered late.
                    self.back_off().await;
                }
            }
            Err(e) => self.handle_failure(&e).await,
        }
    }

    async fn list(&self) -> Result<Read, objects::Error> {
        self.cx
            .platform
            .list(self.topic.purpose(), self.topic.kind())
            .await
            .inspect(|listing| {
                self.log_unnamed(listing.unnamed);
                self.log_gap(listing);
            })
            .map(Read::All)
    }

    fn log_unnamed(&self, count: usize) {
        if count > 0 {
            log::emit(&event::Event::ObjectsUnnamed {
                kind: self.topic.kind(),
                count,
            });
        }
    }

    fn log_gap(&self, listing: &objects::Listing) {
        if let Some(gap) = listing.gap {
            log::emit(&event::Event::ListIncomplete {
                kind: self.topic.kind(),
                reason: &gap.to_string(),
                objects: listing.objects.len(),
            });
        }
    }

    /// Watches for changes. If more recent data are needed meanwhile, they are listed beside the
    /// watch, which goes on.
    async fn watch(&mut self, from: objects::Position) -> Result<Read, objects::Error> {
        let wait = self.next_watch_timeout();
        let watch_begun_at = self.cx.now();
        let cx = sync::Arc::clone(&self.cx);
        let (purpose, kind) = (self.topic.purpose(), self.topic.kind());
        let watching = cx.platform.watch(purpose, kind, from, wait);
        tokio::pin!(watching);
        loop {
            tokio::select! {
                changes = &mut watching => {
                    let changes = changes?;
                    let (has_unnamed, is_partial) = {
                        let state = cx.state();
                        let view = &state.view;
                        (view.has_unnamed(self.topic), view.is_partial(self.topic))
                    };
                    if changes.unnamed == 0 && !has_unnamed && !is_partial {
                        return Ok(Read::Changes(changes));
                    }
                    // Which object has changed, or has its name back, is told by a list only.
                    self.log_unnamed(changes.unnamed);
                    if is_partial {
                        // The list may leave out what has changed.
                        self.apply(Read::Changes(changes), watch_begun_at).await;
                    }
                    return self.list().await;
                }
                () = cx.refresh.notified(), if self.topic == topic::Topic::Configuration => {
                    if !self.refresh_is_due() {
                        continue;
                    }
                }
                () = cx.servers_refresh.notified(), if self.topic == topic::Topic::Servers => {}
                // The connection of this watch may be silent as well. Its own timeout would come
                // later than the time within which a server that leaves must get no more work.
                () = cx.platform_silent.notified(), if self.topic != topic::Topic::Configuration => {
                    return self.list().await;
                }
            }
            let begun_at = cx.now();
            let read = self.list().await?;
            self.apply(read, begun_at).await;
        }
    }

    /// Returns whether some request needs a more recent configuration than the one read.
    fn refresh_is_due(&self) -> bool {
        let now = self.cx.now();
        let state = self.cx.state();
        let age = state.view.age(topic::Topic::Configuration, now);
        age.is_none_or(|age| now.saturating_sub(age) < state.required_as_of)
    }

    /// Waits while a relay delivers this kind in time; returns whether the kind is to be listed
    /// afterwards even if it was read before.
    async fn wait_while_relay_serves(&mut self) -> bool {
        let mut registered_at = self.cx.now();
        loop {
            let is_known = {
                let state = self.cx.state();
                let view = &state.view;
                view.position(self.topic).is_some() && !view.is_partial(self.topic)
            };
            if !is_known {
                return false;
            }
            if !self.cx.peers.has_relay() {
                if !self.cx.awaits_relay() {
                    return false;
                }
                tokio::time::sleep(RELAY_POLL_INTERVAL).await;
                continue;
            }
            let now = self.cx.now();
            let (age, members) = (self.age(now), self.members());
            let is_due = self
                .fallback_reads
                .is_due(age, members, rand::random(), now);
            if is_due && self.topic == topic::Topic::Configuration {
                return true;
            }
            if self.fallback_reads.is_relay_fresh() {
                self.mark_regained();
            }
            if self.topic == topic::Topic::Entries
                && now.saturating_sub(registered_at) >= REGISTRATION_INTERVAL
            {
                registered_at = now;
                register(&self.cx).await;
            }
            tokio::select! {
                () = tokio::time::sleep(AGE_CHECK_INTERVAL) => {}
                () = self.cx.peers.lost_relay.notified() => {}
                () = self.cx.refresh.notified(), if self.topic == topic::Topic::Configuration => {
                    if self.refresh_is_due() {
                        return true;
                    }
                }
                // The platform answers this entry while its relay's data is too old.
                () = self.cx.relay_bypassed.notified(), if self.topic != topic::Topic::Configuration => return true,
            }
        }
    }

    /// Returns the age of the configuration; none if it was never read.
    fn age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        let state = self.cx.state();
        state.view.age(topic::Topic::Configuration, now)
    }

    fn members(&self) -> usize {
        self.cx.state().view.members().len()
    }

    /// Returns how long the next watch may wait.
    fn next_watch_timeout(&self) -> time::Duration {
        let now = self.cx.now();
        if self.cx.state().live_entries.alive_count(now) == 0 {
            return WATCH_WITHOUT_PEERS;
        }
        let wait = watch_timeout(self.topic);
        if self.cx.is_large_fleet() {
            // Spreads the ends of the relays' watches, so that their data is never old all at once.
            return wait.mul_f64(rand::random_range(RELAY_WATCH_SHARE));
        }
        wait
    }

    /// Applies what was read; returns whether it was as late as what is known.
    async fn apply(&mut self, read: Read, begun_at: time::Duration) -> bool {
        if self.mark_regained() {
            self.cx.platform_recovered.notify_waiters();
        }
        let now = self.cx.now();
        let is_leaf = self.cx.peers.has_relay();
        if self.topic == topic::Topic::Configuration
            && is_leaf
            && !self.fallback_reads.is_relay_fresh()
        {
            self.cx.relay_bypassed.notify_waiters();
        }
        let effects = {
            let mut state = self.cx.state();
            match read {
                Read::All(listing) => state.view.apply_listing(self.topic, listing, begun_at, now),
                Read::Changes(changes) => state.view.apply_diff(self.topic, changes, begun_at, now),
            }
        };
        let has_applied = !effects.is_ignored;
        if has_applied {
            self.backoff = time::Duration::ZERO;
        }
        self.apply_effects(effects);
        if self.topic == topic::Topic::Entries {
            register(&self.cx).await;
        }
        self.batch_delay().await;
        has_applied
    }

    /// Records that this kind can be read; returns whether it could not be before.
    fn mark_regained(&mut self) -> bool {
        let was_lost = std::mem::take(&mut self.is_lost);
        if was_lost {
            log::emit(&event::Event::PlatformRegained {
                kind: self.topic.kind(),
            });
        }
        was_lost
    }

    /// Waits, so that changes following closely on the one just read are read together.
    async fn batch_delay(&self) {
        let wait = match self.topic {
            topic::Topic::Entries => ENTRIES_BATCH_DELAY,
            // Relays tell their leaves of a new configuration, which must not be delayed.
            topic::Topic::Configuration => return,
            _ if self.cx.is_large_fleet() => RELAY_BATCH_DELAY,
            _ => return,
        };
        tokio::time::sleep(wait).await;
    }

    fn apply_effects(&self, effects: view::Effects) {
        for (server, left) in effects.cold {
            self.cx.report_cold(&server, left);
        }
        if self.topic == topic::Topic::Servers {
            let mut guard = self.cx.state();
            let state = &mut *guard;
            let view = &state.view;
            state.loads.retain_servers(|id| view.is_listed(id));
            state
                .advertised_limits
                .retain_servers(|id| view.is_listed(id));
            state.rate_shares.retain_servers(|id| view.is_listed(id));
            state.paths.retain_servers(|id| view.is_listed(id));
            let now = self.cx.now();
            state.notices.expire(|id| view.is_listed(id), now);
            state.assign_servers();
        }
        if self.topic == topic::Topic::Configuration {
            self.cx.refreshed.notify_waiters();
        }
    }

    async fn handle_failure(&mut self, e: &objects::Error) {
        let now = self.cx.now();
        if *e != objects::Error::HistoryGone {
            self.cx.state().view.record_failure(self.topic, now);
            let max_backoff = if self.topic == topic::Topic::Configuration {
                MAX_CONFIGURATION_BACKOFF
            } else {
                MAX_BACKOFF
            };
            self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, max_backoff);
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            let is_silent = matches!(e, objects::Error::Unanswered(_));
            if is_silent && self.topic == topic::Topic::Configuration {
                self.cx.platform_silent.notify_waiters();
            }
            log::emit(&event::Event::PlatformLost {
                kind: self.topic.kind(),
                reason: &e.to_string(),
            });
        }
        if self.cx.peers.has_relay() {
            let members = self.members();
            return self
                .fallback_reads
                .record_failure(members, rand::random(), now);
        }
        self.wait_for_backoff().await;
    }

    /// Waits longer than the last time, up to a limit.
    async fn back_off(&mut self) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_CONFIGURATION_BACKOFF);
        self.wait_for_backoff().await;
    }

    async fn wait_for_backoff(&self) {
        let jitter = rand::random_range(0.7..1.3);
        tokio::select! {
            () = tokio::time::sleep(self.backoff.mul_f64(jitter)) => {}
            () = self.cx.platform_recovered.notified() => {}
        }
    }
}

enum Read {
    All(objects::Listing),
    Changes(objects::Changes),
}

/// Writes this entry's registration if it is missing or differs, unless the entry is draining.
async fn register(cx: &cx::Cx) {
    let member = cx.member();
    let vm = &cx.settings.vm;
    let is_registered = cx.state().view.members().get(vm) == Some(&member);
    if is_registered || cx.is_draining() {
        return;
    }
    let written = match decode::entry::encode(&member) {
        Ok(content) => write(cx, &content).await.map_err(|e| e.to_string()),
        Err(e) => Err(e.to_string()),
    };
    log::emit(&event::Event::Registered {
        vm,
        result: &written.err().unwrap_or_else(|| "done".to_owned()),
    });
}

/// Creates this entry's registration, or replaces the existing one.
async fn write(cx: &cx::Cx, content: &str) -> Result<objects::Position, objects::Error> {
    let topic = topic::Topic::Entries;
    let (purpose, kind) = (topic.purpose(), topic.kind());
    let vm = &cx.settings.vm;
    match cx.platform.create(purpose, kind, vm, content).await {
        Err(objects::Error::Conflict(_)) => {
            cx.platform.replace(purpose, kind, vm, None, content).await
        }
        written => written,
    }
}
