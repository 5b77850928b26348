//! The links of this entry: which it opens, and the queues towards all who hear it.

use std::{collections, sync, time};

use mustardshed::{
    core::{forward::relays, ids},
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

/// Messages that wait for one link; beyond that the link is opened anew and tells everything.
const QUEUE_LEN: usize = 8_192;
/// Wait between looks at which peers there are.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// A queue towards one link.
pub type Queue = mpsc::Sender<forward::Message>;

/// Where a message came from that is to be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source<'a> {
    /// A leaf of this relay.
    Leaf(&'a str),
    /// Another relay, or this entry's own.
    Relay,
}

/// Queues towards all who hear this entry.
#[derive(Debug)]
pub struct Outbox {
    vm: ids::VmId,
    queues: sync::Mutex<Queues>,
    /// Woken when the link to this entry's relay is lost.
    pub lost_relay: tokio_sync::Notify,
}

#[derive(Debug, Default)]
struct Queues {
    /// Links that this entry has opened, by address, with whether it is a leaf there.
    opened: collections::HashMap<String, (Queue, bool)>,
    /// Whether the relay has answered to which this entry has opened a link as a leaf.
    hears_relay: bool,
    /// Leaves of this entry.
    leaves: collections::HashMap<ids::VmId, Queue>,
}

impl Outbox {
    /// Makes the queues of an entry that has no links.
    #[must_use]
    pub fn new(vm: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            queues: sync::Mutex::default(),
            lost_relay: tokio_sync::Notify::new(),
        }
    }

    /// Tells all who hear this entry; a link whose queue is full starts anew.
    pub fn send(&self, message: &forward::Message) {
        let mut queues = self.lock();
        queues.tell_opened(message);
        if !queues.leaves.is_empty() {
            let message = forward::Message::Of {
                vm: self.vm.clone(),
                message: Box::new(message.clone()),
            };
            queues.tell_leaves(&message, None);
        }
    }

    /// Passes a message on to all who have not heard it where it came from.
    pub fn pass_on(&self, source: Source<'_>, message: &forward::Message) {
        let mut queues = self.lock();
        match source {
            Source::Leaf(vm) => {
                queues.tell_opened(message);
                queues.tell_leaves(message, Some(vm));
            }
            Source::Relay => queues.tell_leaves(message, None),
        }
    }

    /// Takes a new leaf, in place of an earlier link with it.
    #[must_use]
    pub fn take_leaf(&self, vm: &str) -> mpsc::Receiver<forward::Message> {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        self.lock().leaves.insert(vm.to_owned(), tx);
        rx
    }

    /// Returns the leaves.
    #[must_use]
    pub fn leaves(&self) -> Vec<ids::VmId> {
        let mut queues = self.lock();
        queues.leaves.retain(|_, tx| !tx.is_closed());
        queues.leaves.keys().cloned().collect()
    }

    /// Takes that this entry's relay has answered it; leaves of this entry go there, too.
    pub fn relay_answered(&self) {
        let mut queues = self.lock();
        queues.hears_relay = true;
        queues.leaves.clear();
    }

    /// Returns whether this entry hears the others through a relay.
    #[must_use]
    pub fn hears_relay(&self) -> bool {
        self.lock().hears_relay
    }

    fn insert(&self, address: &str, tx: Queue, is_leaf: bool) {
        let mut queues = self.lock();
        queues.opened.insert(address.to_owned(), (tx, is_leaf));
    }

    fn remove(&self, address: &str) {
        let mut queues = self.lock();
        let removed = queues.opened.remove(address);
        if removed.is_some_and(|(_, is_leaf)| is_leaf) && queues.hears_relay {
            queues.hears_relay = false;
            self.lost_relay.notify_waiters();
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Queues> {
        self.queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Queues {
    fn tell_opened(&mut self, message: &forward::Message) {
        self.opened
            .retain(|_, (tx, _)| tx.try_send(message.clone()).is_ok());
    }

    fn tell_leaves(&mut self, message: &forward::Message, but: Option<&str>) {
        self.leaves
            .retain(|vm, tx| Some(vm.as_str()) == but || tx.try_send(message.clone()).is_ok());
    }
}

/// Keeps the links that this entry should have, for as long as the process runs.
pub async fn keep(cx: sync::Arc<cx::Cx>) {
    let mut opened = Opened::default();
    let mut looks = tokio::time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        forget_dead(&cx);
        opened.keep(&cx);
    }
}

/// The links that were opened, by address and whether this entry is a leaf there.
#[derive(Default)]
struct Opened {
    tasks: collections::HashMap<(String, bool), task::JoinHandle<()>>,
}

impl Opened {
    fn keep(&mut self, cx: &sync::Arc<cx::Cx>) {
        self.tasks.retain(|_, task| !task.is_finished());
        let wanted = self.wanted(cx);
        self.tasks.retain(|key, task| {
            let is_wanted = wanted.contains(key);
            if !is_wanted {
                task.abort();
                cx.peers.remove(&key.0);
            }
            is_wanted
        });
        for (address, is_leaf) in wanted {
            self.tasks
                .entry((address.clone(), is_leaf))
                .or_insert_with(|| task::spawn(keep_one(sync::Arc::clone(cx), address, is_leaf)));
        }
    }

    fn wanted(&self, cx: &cx::Cx) -> collections::HashSet<(String, bool)> {
        let now = cx.now();
        let own = &cx.settings.vm;
        let mut guard = cx.state();
        let state = &mut *guard;
        let members = state.view.members();
        if members.is_empty() {
            // Seeds may be out of date; they are used only until the platform has told who is there.
            let seeds = cx.settings.seeds.iter();
            let seeds = seeds.filter(|seed| **seed != cx.settings.peers);
            return seeds.map(|seed| (seed.to_string(), false)).collect();
        }
        let roster = &state.roster;
        let is_heard = |vm: &ids::VmId| roster.get(vm, now).is_some();
        state.relays.update(members, is_heard, now);
        let address = |vm: &ids::VmId| members.get(vm).map(|member| member.peer_address.clone());
        match state.relays.links(own, members, now) {
            relays::Links::Mesh(others) => {
                let addresses = others.iter().filter_map(address);
                addresses.map(|address| (address, false)).collect()
            }
            relays::Links::Leaf(order) => {
                // A link that holds is kept, whoever would be tried first now.
                let held = self.tasks.keys().find(|(_, is_leaf)| *is_leaf).cloned();
                let first = || Some((order.iter().find_map(address)?, true));
                held.or_else(first).into_iter().collect()
            }
        }
    }
}

fn forget_dead(cx: &cx::Cx) {
    let now = cx.now();
    let mut state = cx.state();
    for vm in state.roster.remove_dead(now) {
        state.ledger.remove_entry(&vm, now);
        log::emit(&event::Event::MemberChanged {
            vm: &vm,
            state: "dead",
        });
    }
}

/// Keeps one link: to a peer of the mesh for good, to a relay until it fails.
async fn keep_one(cx: sync::Arc<cx::Cx>, address: String, is_leaf: bool) {
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
        if is_leaf {
            return failed(&cx, &address);
        }
        tokio::time::sleep(link::REOPEN_INTERVAL).await;
    }
}

fn failed(cx: &cx::Cx, address: &str) {
    let now = cx.now();
    let mut guard = cx.state();
    let state = &mut *guard;
    let mut members = state.view.members().iter();
    if let Some((vm, _)) = members.find(|(_, member)| member.peer_address == address) {
        state.relays.record_failure(vm, now);
    }
}
