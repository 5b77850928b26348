//! Follows one kind of the platform's objects: a list, then watches.
//!
//! A leaf of a large fleet lists a kind once and then has it from its relay, for as long as the relay
//! hears from the platform in time.

use std::{ops, sync, time};

use mustardshed::{
    core::{forward::fallback_reads, ids},
    platform::{decode, objects, topic},
};

use crate::{
    forward::{cx, view},
    log::{self, event},
};

/// Shortest wait after a failed call.
const LEAST_BACKOFF: time::Duration = time::Duration::from_millis(80);
/// Longest wait after a failed call for the configuration, so that a platform that is back is noticed
/// soon.
const GREATEST_BACKOFF: time::Duration = time::Duration::from_millis(700);
/// The same for other kinds, which are told of the return by that call.
const GREATEST_BACKOFF_IF_TOLD: time::Duration = time::Duration::from_secs(3);
/// Longest wait of a watch where no peer would tell of a change that it misses.
const ALONE_WATCH: time::Duration = time::Duration::from_millis(1_300);

/// Wait between looks of an entry that has just started at whether a relay has answered.
const RELAY_LOOK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Wait between looks of a leaf at whether it is registered.
const REGISTRATION_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// Part of the usual time that a watch of a relay waits.
const RELAY_WATCH_SHARE: ops::Range<f64> = 0.7..1.0;
/// Wait of a leaf between looks at the age of what its relay tells.
const AGE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Wait after a change before a relay watches again, so that changes that come together are read
/// together; its leaves hear from it how far there is to read.
const RELAY_GATHERS: time::Duration = time::Duration::from_millis(150);
/// The same for all where entries register: a fleet starts at once, and no request needs to know.
const ENTRIES_GATHER: time::Duration = time::Duration::from_millis(300);

/// Returns how long a watch may wait. Peers tell of changes that it misses, and of the age of what
/// they know, so that each entry needs to ask less often than is needed in all.
const fn watch_time(topic: topic::Topic) -> time::Duration {
    match topic {
        // What is read confirms as of the beginning of the call, so that its age grows to twice this.
        topic::Topic::Configuration => ALONE_WATCH,
        topic::Topic::Servers => time::Duration::from_millis(4_000),
        topic::Topic::Outages => time::Duration::from_millis(5_000),
        topic::Topic::Entries => time::Duration::from_millis(8_000),
    }
}

/// Follows one kind for as long as the process runs.
pub async fn follow(cx: sync::Arc<cx::Cx>, topic: topic::Topic) {
    let mut follower = Follower {
        cx,
        topic,
        backoff: time::Duration::ZERO,
        own_reads: fallback_reads::FallbackReads::default(),
        is_lost: false,
    };
    loop {
        follower.step().await;
    }
}

struct Follower {
    cx: sync::Arc<cx::Cx>,
    topic: topic::Topic,
    backoff: time::Duration,
    own_reads: fallback_reads::FallbackReads,
    is_lost: bool,
}

impl Follower {
    async fn step(&mut self) {
        let wants_all = self.rely_on_relay().await;
        let begun_at = self.cx.now();
        // The revision is read anew each time: a peer may have told of a later one.
        let revision = self.cx.state().view.revision(self.topic);
        let result = match revision {
            Some(revision) if !self.is_lost && !wants_all => self.watch(revision).await,
            _ => self.list().await,
        };
        match result {
            Ok(read) => self.take(read, begun_at).await,
            Err(e) => self.failed(&e).await,
        }
    }

    async fn list(&self) -> Result<Read, objects::Error> {
        self.cx
            .platform
            .list(self.topic.purpose(), self.topic.kind())
            .await
            .map(Read::All)
    }

    /// Watches for changes. A look at the configuration that is wanted meanwhile is made beside the
    /// watch, which goes on.
    async fn watch(&mut self, revision: u64) -> Result<Read, objects::Error> {
        let wait = self.wait();
        let cx = sync::Arc::clone(&self.cx);
        let (purpose, kind) = (self.topic.purpose(), self.topic.kind());
        let watching = cx.platform.watch(purpose, kind, revision, wait);
        tokio::pin!(watching);
        loop {
            tokio::select! {
                changes = &mut watching => return changes.map(Read::Changes),
                () = cx.look.notified(), if self.topic == topic::Topic::Configuration => {}
            }
            if self.is_wanted() {
                let begun_at = cx.now();
                let read = self.list().await?;
                self.take(read, begun_at).await;
            }
        }
    }

    /// Returns whether somebody wants the configuration as of later than it is known.
    fn is_wanted(&self) -> bool {
        let now = self.cx.now();
        let state = self.cx.state();
        let age = state.view.age(topic::Topic::Configuration, now);
        age.is_none_or(|age| now.saturating_sub(age) < state.wanted_as_of)
    }

    /// Waits for as long as a relay tells of this kind in time; returns whether it is then to be
    /// listed at once, whatever was read before.
    async fn rely_on_relay(&mut self) -> bool {
        let mut registered_at = self.cx.now();
        loop {
            let is_known = self.cx.state().view.revision(self.topic).is_some();
            if !is_known {
                return false;
            }
            if !self.cx.peers.hears_relay() {
                if !self.cx.awaits_relay() {
                    return false;
                }
                tokio::time::sleep(RELAY_LOOK_INTERVAL).await;
                continue;
            }
            let now = self.cx.now();
            let (age, members) = (self.age(now), self.members());
            let is_due = self.own_reads.is_due(age, members, rand::random(), now);
            if is_due && self.topic == topic::Topic::Configuration {
                return true;
            }
            if self.own_reads.is_relay_fresh() {
                self.regained();
            }
            if self.topic == topic::Topic::Entries
                && now.saturating_sub(registered_at) >= REGISTRATION_INTERVAL
            {
                registered_at = now;
                register(&self.cx).await;
            }
            tokio::select! {
                () = tokio::time::sleep(AGE_INTERVAL) => {}
                () = self.cx.peers.lost_relay.notified() => {}
                () = self.cx.look.notified(), if self.topic == topic::Topic::Configuration => {
                    if self.is_wanted() {
                        return true;
                    }
                }
                // The platform answers this entry, and its relay knows too little.
                () = self.cx.asked.notified(), if self.topic != topic::Topic::Configuration => return true,
            }
        }
    }

    /// Returns the age of the configuration.
    fn age(&self, now: ids::Timestamp) -> Option<time::Duration> {
        let state = self.cx.state();
        state.view.age(topic::Topic::Configuration, now)
    }

    fn members(&self) -> usize {
        self.cx.state().view.members().len()
    }

    /// Returns how long the next watch may wait.
    fn wait(&self) -> time::Duration {
        let now = self.cx.now();
        if self.cx.state().roster.alive_count(now) == 0 {
            return ALONE_WATCH;
        }
        let wait = watch_time(self.topic);
        if self.cx.is_large_fleet() {
            // Relays whose watches end one after the other are never all out of date.
            return wait.mul_f64(rand::random_range(RELAY_WATCH_SHARE));
        }
        wait
    }

    async fn take(&mut self, read: Read, begun_at: time::Duration) {
        self.backoff = time::Duration::ZERO;
        if self.regained() {
            self.cx.returned.notify_waiters();
        }
        let now = self.cx.now();
        let is_leaf = self.cx.peers.hears_relay();
        if self.topic == topic::Topic::Configuration && is_leaf && !self.own_reads.is_relay_fresh()
        {
            self.cx.asked.notify_waiters();
        }
        let noticed = {
            let mut state = self.cx.state();
            match read {
                Read::All(listing) => state.view.listed(self.topic, listing, begun_at, now),
                Read::Changes(changes) => state.view.changed(self.topic, changes, begun_at, now),
            }
        };
        self.notice(noticed);
        if self.topic == topic::Topic::Entries {
            register(&self.cx).await;
        }
        self.gather().await;
    }

    /// Takes that this kind can be read again; returns whether it could not be before.
    fn regained(&mut self) -> bool {
        let was_lost = std::mem::take(&mut self.is_lost);
        if was_lost {
            log::emit(&event::Event::PlatformRegained {
                kind: self.topic.kind(),
            });
        }
        was_lost
    }

    /// Waits for changes that come together with the one that was read.
    async fn gather(&self) {
        let wait = match self.topic {
            topic::Topic::Entries => ENTRIES_GATHER,
            // Leaves hear from relays that there is another configuration.
            topic::Topic::Configuration => return,
            _ if self.cx.is_large_fleet() => RELAY_GATHERS,
            _ => return,
        };
        tokio::time::sleep(wait).await;
    }

    fn notice(&self, noticed: view::Noticed) {
        for (server, left) in noticed.cold {
            self.cx.cold(&server, left);
        }
        if self.topic == topic::Topic::Servers {
            let mut guard = self.cx.state();
            let state = &mut *guard;
            let view = &state.view;
            state.ledger.retain_servers(|id| view.is_listed(id));
            let now = self.cx.now();
            state.notices.expire(|id| view.is_listed(id), now);
        }
        if self.topic == topic::Topic::Configuration {
            self.cx.looked.notify_waiters();
        }
    }

    async fn failed(&mut self, e: &objects::Error) {
        let now = self.cx.now();
        if *e != objects::Error::HistoryGone {
            self.cx.state().view.failed(self.topic, now);
            let greatest = if self.topic == topic::Topic::Configuration {
                GREATEST_BACKOFF
            } else {
                GREATEST_BACKOFF_IF_TOLD
            };
            self.backoff = (self.backoff * 2).clamp(LEAST_BACKOFF, greatest);
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            log::emit(&event::Event::PlatformLost {
                kind: self.topic.kind(),
                reason: &e.to_string(),
            });
        }
        if self.cx.peers.hears_relay() {
            let members = self.members();
            return self.own_reads.record_failure(members, rand::random(), now);
        }
        let jitter = rand::random_range(0.7..1.3);
        tokio::select! {
            () = tokio::time::sleep(self.backoff.mul_f64(jitter)) => {}
            () = self.cx.returned.notified() => {}
        }
    }
}

enum Read {
    All(objects::Listing),
    Changes(objects::Changes),
}

/// Writes this entry's registration if it is not there as it should be.
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

/// Writes this entry's registration, whatever is there.
async fn write(cx: &cx::Cx, content: &str) -> Result<u64, objects::Error> {
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
