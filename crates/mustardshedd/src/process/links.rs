//! Outgoing links to peers: one WebSocket connection each, on which only this entry sends.

use std::{collections, fmt, sync, time};

use futures_util::SinkExt;
use mustardshed::{
    core::{ids, process::message, process::node},
    platform::byte_counter,
    wire::peer,
};
use tokio::{net, sync::mpsc, task};
use tokio_tungstenite::tungstenite;

use crate::process::{control, handshake};

/// Capacity of the queue of one link; further messages are lost, as on a broken link.
const LINK_QUEUE_LEN: usize = 1024;
/// Timeout for a connection and its handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Delay before a broken link is reconnected.
const RECONNECT_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Timeout for sending one message.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Outgoing links by VM.
pub struct Links {
    identity: node::Identity,
    key: sync::Arc<[u8]>,
    bytes: sync::Arc<byte_counter::ByteCounter>,
    links: collections::HashMap<ids::VmId, Link>,
}

struct Link {
    peer_address: String,
    tx: mpsc::Sender<message::Message>,
    task: task::JoinHandle<()>,
}

impl fmt::Debug for Links {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Links")
            .field("vms", &self.links.keys())
            .finish_non_exhaustive()
    }
}

impl Links {
    /// Creates the set of links of an entry, empty at first; `bytes` counts what is sent.
    pub fn new(parts: &control::Parts, bytes: sync::Arc<byte_counter::ByteCounter>) -> Self {
        Self {
            identity: parts.identity.clone(),
            key: sync::Arc::clone(&parts.peer_key),
            bytes,
            links: collections::HashMap::new(),
        }
    }

    /// Maintains a link to a VM from now on; must be called on a runtime.
    pub fn connect(&mut self, vm: ids::VmId, peer_address: String) {
        if self
            .links
            .get(&vm)
            .is_some_and(|link| link.peer_address == peer_address)
        {
            return;
        }
        self.disconnect(&vm);
        let (tx, rx) = mpsc::channel(LINK_QUEUE_LEN);
        let task = task::spawn(maintain(
            self.identity.clone(),
            sync::Arc::clone(&self.key),
            vm.clone(),
            peer_address.clone(),
            sync::Arc::clone(&self.bytes),
            rx,
        ));
        let link = Link {
            peer_address,
            tx,
            task,
        };
        self.links.insert(vm, link);
    }

    /// Drops the link to a VM.
    pub fn disconnect(&mut self, vm: &ids::VmId) {
        if let Some(link) = self.links.remove(vm) {
            link.task.abort();
        }
    }

    /// Sends a message; it is lost if there is no link or its queue is full.
    pub fn send(&self, vm: &ids::VmId, message: message::Message) {
        if let Some(link) = self.links.get(vm) {
            // The protocol between entries tolerates lost messages.
            let _ = link.tx.try_send(message);
        }
    }
}

async fn maintain(
    identity: node::Identity,
    key: sync::Arc<[u8]>,
    vm: ids::VmId,
    peer_address: String,
    bytes: sync::Arc<byte_counter::ByteCounter>,
    mut rx: mpsc::Receiver<message::Message>,
) {
    loop {
        let connecting = handshake::connect(&identity, &key, &vm, &peer_address);
        if let Ok(Ok(mut socket)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await
            && forward(&mut socket, &bytes, &mut rx).await == Ended::QueueClosed
        {
            return;
        }
        discard(&mut rx);
        tokio::time::sleep(RECONNECT_INTERVAL).await;
    }
}

/// Why sending on a link ended.
#[derive(Debug, Eq, PartialEq)]
enum Ended {
    LinkBroken,
    QueueClosed,
}

async fn forward(
    socket: &mut handshake::Socket<net::TcpStream>,
    bytes: &byte_counter::ByteCounter,
    rx: &mut mpsc::Receiver<message::Message>,
) -> Ended {
    while let Some(message) = rx.recv().await {
        let Ok(buf) = peer::encode(&message) else {
            continue;
        };
        bytes.add_sent(handshake::frame_bytes(buf.len()));
        let sending = socket.send(tungstenite::Message::binary(buf));
        match tokio::time::timeout(SEND_TIMEOUT, sending).await {
            Ok(Ok(())) => {}
            _ => return Ended::LinkBroken,
        }
    }
    Ended::QueueClosed
}

/// Drops what was queued for a broken link; old heartbeats must not arrive late in a burst.
fn discard(rx: &mut mpsc::Receiver<message::Message>) {
    while rx.try_recv().is_ok() {}
}
