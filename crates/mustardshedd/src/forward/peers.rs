//! The links of this entry: which ones it opens, and the queues of messages to all peers.

use std::{collections, sync, time};

use mustardshed::{
    core::{boundary::clock, forward::relays, ids},
    wire::forward,
};
use tokio::{
    sync::{self as tokio_sync, mpsc},
    task,
};

use crate::{
    forward::{cx, link},
    log::{self, event},
};

/// Capacity of the queue to one link, in messages; on overflow the link is reopened and sends the
/// whole state again.
const QUEUE_LEN: usize = 8_192;
/// Interval at which the open links are compared with the desired ones.
const RECONCILE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The same right after the start, while prompts wait for the peers; also the shortest time after which
/// a lost link is reopened.
const FIRST_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Queue of messages to one link.
pub type Queue = mpsc::Sender<Queued>;

/// A message that waits to be sent.
#[derive(Clone, Debug)]
pub struct Queued {
    /// The message.
    pub message: forward::Message,
    /// Time at which it was composed, or sent by its first sender.
    pub as_of: ids::Timestamp,
}

/// Where a message to be passed on came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source<'a> {
    /// A leaf of this relay.
    Leaf(&'a str),
    /// Another relay, or the relay of this entry.
    Relay,
}

/// Queues of messages to all peers with a link to this entry.
#[derive(Debug)]
pub struct Outbox {
    vm: ids::VmId,
    clock: sync::Arc<dyn clock::Clock>,
    queues: sync::Mutex<Queues>,
    /// Notified when lost links are to be reopened without delay.
    pub reopen: tokio_sync::Notify,
    /// Notified when the link to this entry's relay is lost.
    pub lost_relay: tokio_sync::Notify,
}

#[derive(Debug, Default)]
struct Queues {
    /// Links that this entry opened, by address, and whether it is a leaf there.
    opened: collections::HashMap<String, (Queue, bool)>,
    /// Whether this entry is a leaf whose relay has answered.
    has_relay: bool,
    /// Links that leaves of this entry opened.
    leaves: collections::HashMap<ids::VmId, Queue>,
}

impl Outbox {
    /// Creates the queues of an entry that has no links.
    #[must_use]
    pub fn new(vm: &str, clock: sync::Arc<dyn clock::Clock>) -> Self {
        Self {
            vm: vm.to_owned(),
            clock,
            queues: sync::Mutex::default(),
            reopen: tokio_sync::Notify::new(),
            lost_relay: tokio_sync::Notify::new(),
        }
    }

    /// Sends a message to all peers; a link whose queue is full is reopened.
    pub fn send(&self, message: &forward::Message) {
        let as_of = self.clock.now();
        let mut queues = self.lock();
        queues.send_to_opened(message, as_of);
        if !queues.leaves.is_empty() {
            let message = forward::Message::Relayed {
                vm: self.vm.clone(),
                message: Box::new(message.clone()),
            };
            queues.send_to_leaves(&message, as_of, None);
        }
    }

    /// Passes a message on that was sent at `sent_at`, to all peers that do not receive it from its
    /// source.
    pub fn pass_on(&self, source: Source<'_>, message: &forward::Message, sent_at: ids::Timestamp) {
        let mut queues = self.lock();
        match source {
            Source::Leaf(vm) => {
                queues.send_to_opened(message, sent_at);
                queues.send_to_leaves(message, sent_at, Some(vm));
            }
            Source::Relay => queues.send_to_leaves(message, sent_at, None),
        }
    }

    /// Adds a leaf, replacing an earlier link with it; returns the messages to send to it.
    #[must_use]
    pub fn add_leaf(&self, vm: &str) -> mpsc::Receiver<Queued> {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        self.lock().leaves.insert(vm.to_owned(), tx);
        rx
    }

    /// Returns the leaves whose links are open.
    #[must_use]
    pub fn leaves(&self) -> Vec<ids::VmId> {
        let mut queues = self.lock();
        queues.leaves.retain(|_, tx| !tx.is_closed());
        queues.leaves.keys().cloned().collect()
    }

    /// Records that this entry's relay has answered. This entry is now a leaf, so its own leaves
    /// are disconnected and choose another relay.
    pub fn relay_answered(&self) {
        let mut queues = self.lock();
        queues.has_relay = true;
        queues.leaves.clear();
    }

    /// Returns whether this entry is a leaf that receives updates through its relay.
    #[must_use]
    pub fn has_relay(&self) -> bool {
        self.lock().has_relay
    }

    fn insert(&self, address: &str, tx: Queue, is_leaf: bool) {
        let mut queues = self.lock();
        queues.opened.insert(address.to_owned(), (tx, is_leaf));
    }

    fn remove(&self, address: &str) {
        let mut queues = self.lock();
        let removed = queues.opened.remove(address);
        if removed.is_some_and(|(_, is_leaf)| is_leaf) && queues.has_relay {
            queues.has_relay = false;
            self.lost_relay.notify_waiters();
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Queues> {
        self.queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Queued {
    /// Returns the message as it is to be sent at `now`.
    #[must_use]
    pub fn at(self, now: ids::Timestamp) -> forward::Message {
        self.message.delayed(now.saturating_sub(self.as_of))
    }

    fn try_send(tx: &Queue, message: &forward::Message, as_of: ids::Timestamp) -> bool {
        let message = message.clone();
        tx.try_send(Self { message, as_of }).is_ok()
    }
}

impl Queues {
    fn send_to_opened(&mut self, message: &forward::Message, as_of: ids::Timestamp) {
        self.opened
            .retain(|_, (tx, _)| Queued::try_send(tx, message, as_of));
    }

    fn send_to_leaves(
        &mut self,
        message: &forward::Message,
        as_of: ids::Timestamp,
        except: Option<&str>,
    ) {
        self.leaves
            .retain(|vm, tx| Some(vm.as_str()) == except || Queued::try_send(tx, message, as_of));
    }
}

/// Opens and closes links as the list of entries changes, for as long as the process runs.
pub async fn run(cx: sync::Arc<cx::Cx>) {
    let mut opened = OpenedLinks::default();
    loop {
        remove_dead(&cx);
        cx.report_within_share();
        opened.reconcile(&cx);
        let interval = if cx.is_acquainted() {
            RECONCILE_INTERVAL
        } else {
            FIRST_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

/// Tasks of the links that this entry opened, by address and whether it is a leaf there.
#[derive(Default)]
struct OpenedLinks {
    tasks: collections::HashMap<(String, bool), task::JoinHandle<()>>,
}

impl OpenedLinks {
    fn reconcile(&mut self, cx: &sync::Arc<cx::Cx>) {
        self.tasks.retain(|_, task| !task.is_finished());
        let desired = self.desired(cx);
        self.tasks.retain(|key, task| {
            let is_desired = desired.contains(key);
            if !is_desired {
                task.abort();
                cx.peers.remove(&key.0);
            }
            is_desired
        });
        for (address, is_leaf) in desired {
            self.tasks
                .entry((address.clone(), is_leaf))
                .or_insert_with(|| task::spawn(run_link(sync::Arc::clone(cx), address, is_leaf)));
        }
    }

    fn desired(&self, cx: &cx::Cx) -> collections::HashSet<(String, bool)> {
        let now = cx.now();
        let own = &cx.settings.vm;
        let mut guard = cx.state();
        let state = &mut *guard;
        let members = state.view.members();
        if members.is_empty() {
            // Seeds may be out of date, so they are used only until the entries have been listed.
            let seeds = cx.settings.seeds.iter();
            let seeds = seeds.filter(|seed| **seed != cx.settings.peers);
            return seeds.map(|seed| (seed.to_string(), false)).collect();
        }
        let live_entries = &state.live_entries;
        let is_alive = |vm: &ids::VmId| live_entries.get(vm, now).is_some();
        state.relays.update(members, is_alive, now);
        let address = |vm: &ids::VmId| members.get(vm).map(|member| member.peer_address.clone());
        match state.relays.links(own, members, now) {
            relays::Links::Mesh(others) => {
                let addresses = others.iter().filter_map(address);
                addresses.map(|address| (address, false)).collect()
            }
            relays::Links::Leaf(order) => {
                // An open link is kept, even if another relay would be chosen now.
                let open = self.tasks.keys().find(|(_, is_leaf)| *is_leaf).cloned();
                let first = || Some((order.iter().find_map(address)?, true));
                open.or_else(first).into_iter().collect()
            }
        }
    }
}

fn remove_dead(cx: &cx::Cx) {
    let now = cx.now();
    let mut state = cx.state();
    for vm in state.live_entries.remove_dead(now) {
        state.loads.remove_entry(&vm, now);
        log::emit(&event::Event::MemberChanged {
            vm: &vm,
            state: "dead",
        });
    }
}

/// Runs one link: a link to a peer of the mesh is reopened, one to a relay ends when it fails, so
/// that another relay is chosen.
async fn run_link(cx: sync::Arc<cx::Cx>, address: String, is_leaf: bool) {
    if is_leaf {
        log::emit(&event::Event::RelayChosen {
            address: &address,
            members: cx.state().view.members().len(),
        });
    }
    loop {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        cx.peers.insert(&address, tx, is_leaf);
        let reason = link::run(&cx, &address, is_leaf, rx).await;
        cx.peers.remove(&address);
        log::emit(&event::Event::LinkLost {
            address: &address,
            reason: &reason.to_string(),
        });
        record_unreached(&cx, &address);
        if is_leaf {
            return record_relay_failure(&cx, &address);
        }
        wait_to_reopen(&cx).await;
    }
}

/// Waits until a lost link is to be reopened: sooner if a peer links to this entry.
async fn wait_to_reopen(cx: &cx::Cx) {
    let reopen = cx.peers.reopen.notified();
    // Links that are lost again and again do not reopen each other without a pause.
    tokio::time::sleep(FIRST_INTERVAL).await;
    drop(tokio::time::timeout(link::REOPEN_INTERVAL - FIRST_INTERVAL, reopen).await);
}

fn record_unreached(cx: &cx::Cx, address: &str) {
    let mut guard = cx.state();
    let state = &mut *guard;
    if let Some(vm) = member_at(state.view.members(), address) {
        state.acquaintance.record_unreached(vm);
    }
}

/// Returns the entry that accepts links at this address.
fn member_at<'a>(members: &'a relays::Members, address: &str) -> Option<&'a ids::VmId> {
    let mut members = members.iter();
    let found = members.find(|(_, member)| member.peer_address == address);
    found.map(|(vm, _)| vm)
}

fn record_relay_failure(cx: &cx::Cx, address: &str) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    if let Some(vm) = member_at(state.view.members(), address) {
        state.relays.record_failure(vm, now);
    }
}
