//! Incoming links from peers: one WebSocket connection each, on which only the peer sends.

use std::{net as std_net, sync, time};

use futures_util::StreamExt;
use mustardshed::{
    core::{ids, process::event, process::node},
    platform::byte_counter,
    wire::peer,
};
use tokio::{net, sync as tokio_sync, sync::mpsc};
use tokio_tungstenite::tungstenite;

use crate::process::{control, handshake};

/// Maximum number of concurrent incoming connections.
const MAX_CONNECTIONS: usize = 1024;
/// Timeout for the handshake of an incoming connection.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Idle timeout of an incoming connection; peers send heartbeats far more often.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Starts to accept peers on the current runtime; `bytes` counts what they send.
pub fn spawn(
    parts: &control::Parts,
    listener: std_net::TcpListener,
    events_tx: mpsc::Sender<event::Event>,
    bytes: sync::Arc<byte_counter::ByteCounter>,
) {
    let acceptor = Acceptor {
        identity: parts.identity.clone(),
        key: sync::Arc::clone(&parts.peer_key),
        events_tx,
        bytes,
        slots: sync::Arc::new(tokio_sync::Semaphore::new(MAX_CONNECTIONS)),
    };
    tokio::spawn(acceptor.run(listener));
}

#[derive(Clone)]
struct Acceptor {
    identity: node::Identity,
    key: sync::Arc<[u8]>,
    events_tx: mpsc::Sender<event::Event>,
    bytes: sync::Arc<byte_counter::ByteCounter>,
    slots: sync::Arc<tokio_sync::Semaphore>,
}

impl Acceptor {
    async fn run(self, listener: std_net::TcpListener) {
        let Ok(listener) = net::TcpListener::from_std(listener) else {
            return;
        };
        loop {
            let Ok(slot) = sync::Arc::clone(&self.slots).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                // Most likely out of file descriptors; others will be closed in the meantime.
                tokio::time::sleep(HANDSHAKE_TIMEOUT).await;
                continue;
            };
            let acceptor = self.clone();
            tokio::spawn(async move {
                acceptor.serve(stream).await;
                drop(slot);
            });
        }
    }

    async fn serve(self, stream: net::TcpStream) {
        let handshake = handshake::accept(&self.identity, &self.key, stream);
        let Ok(Ok((mut socket, hello))) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await
        else {
            return;
        };
        while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_TIMEOUT, socket.next()).await {
            if !self.receive(&hello.vm, hello.incarnation, frame).await {
                return;
            }
        }
    }

    /// Handles a frame; returns false if the connection is to be closed.
    async fn receive(
        &self,
        vm: &ids::VmId,
        incarnation: ids::Incarnation,
        frame: tungstenite::Message,
    ) -> bool {
        let buf = match frame {
            tungstenite::Message::Binary(buf) => buf,
            tungstenite::Message::Ping(_) | tungstenite::Message::Pong(_) => return true,
            _ => return false,
        };
        self.bytes.add_received(handshake::frame_bytes(buf.len()));
        let Ok(message) = peer::decode(&buf) else {
            return false;
        };
        let event = event::Event::Peer {
            vm: vm.clone(),
            incarnation,
            message,
        };
        self.events_tx.send(event).await.is_ok()
    }
}
