//! The links that this entry has opened to its peers.

use std::{collections, sync, time};

use mustardshed::wire::forward;
use tokio::{sync::mpsc, task};

use crate::{
    forward::{cx, link},
    log::{self, event},
};

/// Messages that wait for one link; beyond that the link is opened anew and tells everything.
const QUEUE_LEN: usize = 4_096;
/// Wait between looks at which peers there are.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Queues towards all peers.
#[derive(Debug, Default)]
pub struct Outbox {
    queues: sync::Mutex<collections::HashMap<String, mpsc::Sender<forward::Message>>>,
}

impl Outbox {
    /// Sends a message to all peers; a link whose queue is full starts anew.
    pub fn send(&self, message: &forward::Message) {
        let mut queues = self.lock();
        queues.retain(|_, tx| tx.try_send(message.clone()).is_ok());
    }

    fn insert(&self, address: String, tx: mpsc::Sender<forward::Message>) {
        self.lock().insert(address, tx);
    }

    fn remove(&self, address: &str) {
        self.lock().remove(address);
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<String, mpsc::Sender<forward::Message>>> {
        self.queues
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Keeps a link to each peer that is known, for as long as the process runs.
pub async fn keep(cx: sync::Arc<cx::Cx>) {
    let mut links: collections::HashMap<String, task::JoinHandle<()>> = collections::HashMap::new();
    let mut looks = tokio::time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let wanted = addresses(&cx);
        links.retain(|address, task| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                task.abort();
                cx.peers.remove(address);
            }
            is_wanted
        });
        for address in wanted {
            links
                .entry(address.clone())
                .or_insert_with(|| task::spawn(keep_one(sync::Arc::clone(&cx), address)));
        }
        forget_dead(&cx);
    }
}

fn addresses(cx: &cx::Cx) -> collections::HashSet<String> {
    let own = cx.settings.peers.to_string();
    let state = cx.state();
    let registered = state.view.peers().values().cloned();
    let mut addresses: collections::HashSet<String> = registered.collect();
    // Seeds may be out of date; they are used only until the platform has told who is there.
    if addresses.is_empty() {
        addresses.extend(cx.settings.seeds.iter().map(ToString::to_string));
    }
    addresses.remove(&own);
    addresses
}

fn forget_dead(cx: &cx::Cx) {
    let now = cx.now();
    let mut state = cx.state();
    for vm in state.roster.remove_dead(now) {
        state.ledger.forget(&vm, now);
        log::emit(&event::Event::MemberChanged {
            vm: &vm,
            state: "dead",
        });
    }
}

async fn keep_one(cx: sync::Arc<cx::Cx>, address: String) {
    loop {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        cx.peers.insert(address.clone(), tx);
        let reason = link::run(&cx, &address, rx).await;
        cx.peers.remove(&address);
        log::emit(&event::Event::LinkLost {
            address: &address,
            reason: &reason.to_string(),
        });
        tokio::time::sleep(link::REOPEN_INTERVAL).await;
    }
}
