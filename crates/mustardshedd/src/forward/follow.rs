//! Follows one kind of the platform's objects: a list, then watches.

use std::{ops, sync, time};

use mustardshed::platform::{decode, objects, topic};

use crate::{
    forward::{cx, view},
    log::{self, event},
};

/// Shortest wait after a failed call.
const LEAST_BACKOFF: time::Duration = time::Duration::from_millis(80);
/// The same for a leaf, whose relay tells it what it misses meanwhile.
const LEAST_BACKOFF_OF_LEAF: time::Duration = time::Duration::from_millis(400);
/// Longest wait after a failed call for the configuration, so that a platform that is back is noticed
/// soon.
const GREATEST_BACKOFF: time::Duration = time::Duration::from_millis(700);
/// The same for whoever is told of the return: other kinds by that call, leaves by their relay.
const GREATEST_BACKOFF_IF_TOLD: time::Duration = time::Duration::from_secs(3);
/// Longest wait of a watch where no peer would tell of a change that it misses.
const ALONE_WATCH: time::Duration = time::Duration::from_millis(1_300);

/// Longest wait of a watch of a leaf, which hears from its relay every beat how old its knowledge is.
/// Well below the time for which platforms keep their history.
const LEAF_WATCH: time::Duration = time::Duration::from_secs(16);
/// Age of the configuration at which a leaf asks the platform itself. A relay's own grows to twice its
/// watch and a beat; keys are refused from 0.9 of the time allowed for a revocation.
const LEAF_ASKS_FROM: time::Duration = time::Duration::from_millis(3_000);
/// Part of the usual time that a watch of a relay waits.
const RELAY_WATCH_SHARE: ops::Range<f64> = 0.7..1.0;
/// Wait between looks at that age.
const AGE_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Wait after a change before a leaf watches again, so that changes that come together are read
/// together. A leaf asks its relay for what that one has read meanwhile.
const LEAF_GATHERS: time::Duration = time::Duration::from_millis(600);
/// The same for a relay, from which its leaves hear how far there is to read.
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
    is_lost: bool,
}

impl Follower {
    async fn step(&mut self) {
        let begun_at = self.cx.now();
        // The revision is read anew each time: a peer may have told of a later one.
        let revision = self.cx.state().view.revision(self.topic);
        let result = match revision {
            Some(revision) if !self.is_lost => self.watch(revision).await,
            _ => self.list().await,
        };
        match result {
            Ok(Read::Nothing) => {}
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

    async fn watch(&self, revision: u64) -> Result<Read, objects::Error> {
        let wait = self.wait();
        let platform = &self.cx.platform;
        let (purpose, kind) = (self.topic.purpose(), self.topic.kind());
        let watching = platform.watch(purpose, kind, revision, wait);
        tokio::select! {
            changes = watching => changes.map(Read::Changes),
            () = self.cx.look.notified(), if self.topic == topic::Topic::Configuration => {
                self.list().await
            }
            () = self.outlives_its_use(), if wait == LEAF_WATCH => match self.topic {
                topic::Topic::Configuration => self.list().await,
                _ => Ok(Read::Nothing),
            },
        }
    }

    /// Returns how long the next watch may wait.
    fn wait(&self) -> time::Duration {
        let now = self.cx.now();
        if self.cx.state().roster.alive(now) == 0 {
            return ALONE_WATCH;
        }
        if self.cx.peers.hears_relay() {
            return LEAF_WATCH;
        }
        let wait = watch_time(self.topic);
        if self.cx.is_large_fleet() {
            // Relays whose watches end one after the other are never all out of date.
            return wait.mul_f64(rand::random_range(RELAY_WATCH_SHARE));
        }
        wait
    }

    /// Waits until a long watch of a leaf is no longer enough: the link to its relay is lost, or the
    /// relay's knowledge is getting old too.
    async fn outlives_its_use(&self) {
        let lost = self.cx.peers.lost_relay.notified();
        if self.topic != topic::Topic::Configuration {
            return lost.await;
        }
        tokio::pin!(lost);
        loop {
            tokio::select! {
                () = &mut lost => return,
                () = tokio::time::sleep(AGE_INTERVAL) => {}
            }
            let now = self.cx.now();
            let state = self.cx.state();
            if !state.view.is_fresh(self.topic, LEAF_ASKS_FROM, now) {
                return;
            }
        }
    }

    async fn take(&mut self, read: Read, begun_at: time::Duration) {
        self.backoff = time::Duration::ZERO;
        if std::mem::take(&mut self.is_lost) {
            self.cx.returned.notify_waiters();
            log::emit(&event::Event::PlatformRegained {
                kind: self.topic.kind(),
            });
        }
        let now = self.cx.now();
        let noticed = {
            let mut state = self.cx.state();
            match read {
                Read::All(listing) => state.view.listed(self.topic, listing, begun_at, now),
                Read::Changes(changes) => state.view.changed(self.topic, changes, begun_at, now),
                Read::Nothing => view::Noticed::default(),
            }
        };
        self.notice(noticed);
        if self.topic == topic::Topic::Entries {
            register(&self.cx).await;
        }
        self.gather().await;
    }

    /// Waits for changes that come together with the one that was read.
    async fn gather(&self) {
        let is_leaf = self.cx.peers.hears_relay();
        let wait = match self.topic {
            topic::Topic::Entries => ENTRIES_GATHER,
            _ if is_leaf => LEAF_GATHERS,
            // Leaves hear from relays that there is another configuration.
            topic::Topic::Configuration => return,
            _ if self.cx.is_large_fleet() => RELAY_GATHERS,
            _ => return,
        };
        if self.topic != topic::Topic::Configuration {
            return tokio::time::sleep(wait).await;
        }
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            // Whoever wants to look now finds that said at the next watch.
            () = self.cx.look.notified() => self.cx.look.notify_one(),
        }
    }

    fn notice(&self, noticed: view::Noticed) {
        for (server, left) in noticed.cold {
            self.cx.cold(&server, left);
        }
        if self.topic == topic::Topic::Servers {
            let mut guard = self.cx.state();
            let state = &mut *guard;
            let view = &state.view;
            state.ledger.keep_servers(|id| view.is_listed(id));
            let now = self.cx.now();
            state.notices.forget_old(|id| view.is_listed(id), now);
        }
        if self.topic == topic::Topic::Configuration {
            self.cx.looked.notify_waiters();
        }
    }

    async fn failed(&mut self, e: &objects::Error) {
        let now = self.cx.now();
        if *e != objects::Error::HistoryGone {
            self.cx.state().view.failed(self.topic, now);
            let (least, greatest) = if self.cx.peers.hears_relay() {
                (LEAST_BACKOFF_OF_LEAF, GREATEST_BACKOFF_IF_TOLD)
            } else if self.topic == topic::Topic::Configuration {
                (LEAST_BACKOFF, GREATEST_BACKOFF)
            } else {
                (LEAST_BACKOFF, GREATEST_BACKOFF_IF_TOLD)
            };
            self.backoff = (self.backoff * 2).clamp(least, greatest);
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            log::emit(&event::Event::PlatformLost {
                kind: self.topic.kind(),
                reason: &e.to_string(),
            });
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
    /// The watch was given up for a shorter one.
    Nothing,
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
