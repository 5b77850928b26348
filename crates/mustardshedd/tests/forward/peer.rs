//! A peer of an entry that sends what a test tells it to.

use std::{net, time};

use futures_util::{SinkExt, StreamExt};
use mustardshed::{platform::topic, wire::forward};
use serde_json::json;
use tokio::net as tokio_net;
use tokio_tungstenite::{WebSocketStream, tungstenite};

use crate::fixture;

/// A peer that is registered on the platform, so that entries open links to it.
pub(crate) struct Peer {
    listener: tokio_net::TcpListener,
}

/// A link between an entry and a peer.
pub(crate) struct Link {
    socket: WebSocketStream<tokio_net::TcpStream>,
}

impl Peer {
    /// Registers a peer on the platform.
    pub(crate) async fn register(f: &fixture::Fixture, vm: &str) -> Self {
        let address = net::SocketAddr::from((fixture::unique_ip(), 8_004));
        let listener = tokio_net::TcpListener::bind(address).await.unwrap();
        let entry = json!({
            "peer_address": address.to_string(), "data_centre": "north", "processor": 1.0,
        });
        f.write(topic::Topic::Entries.kind(), vm, entry).await;
        Self { listener }
    }

    /// Accepts the next link that an entry opens.
    pub(crate) async fn accept(&self) -> Link {
        let (stream, _) = self.listener.accept().await.unwrap();
        let socket = tokio_tungstenite::accept_async(stream).await.unwrap();
        Link { socket }
    }
}

impl Link {
    /// Opens a link to an entry as the peer `vm`.
    pub(crate) async fn open(to: &fixture::Entry, vm: &str) -> Self {
        let address = to.cx.settings.peers;
        let stream = tokio_net::TcpStream::connect(address).await.unwrap();
        let opening = tokio_tungstenite::client_async(format!("ws://{address}/"), stream);
        let (socket, _) = opening.await.unwrap();
        let mut link = Self { socket };
        let hello = forward::Message::Hello {
            entry: entry(vm),
            is_leaf: false,
        };
        link.send(&[hello]).await;
        link
    }

    /// Sends a heartbeat that states this time, and messages behind it; waits for the echo.
    pub(crate) async fn exchange(&mut self, sent_at: time::Duration, behind: &[forward::Message]) {
        let heartbeat = forward::Heartbeat {
            sent_at_us: forward::micros(sent_at),
        };
        let mut messages = vec![forward::Message::Heartbeat(heartbeat)];
        messages.extend_from_slice(behind);
        self.send(&messages).await;
        self.receive().await.unwrap();
    }

    /// Sends messages in one frame.
    pub(crate) async fn send(&mut self, messages: &[forward::Message]) {
        let buf = forward::encode(messages).unwrap();
        let frame = tungstenite::Message::binary(buf);
        self.socket.send(frame).await.unwrap();
    }

    /// Receives the messages of the next frame; none once the link has ended.
    pub(crate) async fn receive(&mut self) -> Option<Vec<forward::Message>> {
        loop {
            match self.socket.next().await? {
                Ok(tungstenite::Message::Binary(buf)) => {
                    return Some(forward::decode(&buf).unwrap());
                }
                Ok(_) => {}
                Err(_) => return None,
            }
        }
    }

    /// Waits until the entry ends the link; does not reply to its messages.
    pub(crate) async fn wait_until_ended(&mut self) {
        while self.receive().await.is_some() {}
    }

    /// Replies to heartbeats as a peer that has read the configuration up to `configuration` just now,
    /// until `is_last` returns true for a message or the link ends.
    pub(crate) async fn echo_until(
        &mut self,
        configuration: forward::TopicState,
        mut is_last: impl FnMut(&forward::Message) -> bool,
    ) {
        while let Some(messages) = self.receive().await {
            for message in messages {
                if is_last(&message) {
                    return;
                }
                if let forward::Message::Heartbeat(heartbeat) = message {
                    self.send(&[echo(heartbeat, configuration)]).await;
                }
            }
        }
    }
}

fn echo(heartbeat: forward::Heartbeat, configuration: forward::TopicState) -> forward::Message {
    let mut topics = [None; forward::TOPICS];
    topics[topic::Topic::Configuration.index()] = Some(configuration);
    forward::Message::Echo {
        sent_at_us: heartbeat.sent_at_us,
        entry: entry("entry-2"),
        topics,
    }
}

/// Returns the description of an entry that accepts work.
pub(crate) fn entry(vm: &str) -> forward::Entry {
    forward::Entry {
        vm: vm.to_owned(),
        front: format!("{vm}.example:8001"),
        data_centre: "north".to_owned(),
        takes_work: true,
        is_cut_off: false,
    }
}
