//! A link between two entries, from its opening to its end.
//!
//! Links are not authenticated: only machines of the system can reach the ports for peers, and the
//! settings carry no secret that entries could share.

use std::{io, sync, time};

use displaydoc::Display;
use futures_util::{SinkExt, StreamExt};
use mustardshed::{
    core::ids,
    wire::{
        forward::{self, tunnel as wire_tunnel},
        peer,
    },
};
use tokio::{net, sync::mpsc, task};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, handshake::server, protocol},
};

use crate::{
    forward::{cx, exchange, peers, tunnel},
    log::{self, event},
};

mod catch_up;
mod session;
mod updates;

/// Delay before a lost link is reopened.
pub const REOPEN_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Longest wait for a link to open.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Longest wait for a frame to be sent.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Silence of the other side after which a link ends.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Shortest interval between two frames from one relay to another; messages that arrive meanwhile
/// share a frame.
const RELAY_FRAME_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// The same from a relay to a leaf, which receives the updates of the whole fleet.
const LEAF_FRAME_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Largest head of a request that is sent through a tunnel, in bytes.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Most messages in one frame.
const MAX_FRAME_MESSAGES: usize = 256;

type Socket = WebSocketStream<net::TcpStream>;

/// Why a link ended.
#[derive(Debug, Display)]
pub enum LinkError {
    /// cannot connect: {0}
    Connect(io::Error),
    /// WebSocket error: {0}
    Socket(Box<tungstenite::Error>),
    /// cannot decode a frame: {0}
    Frame(peer::Error),
    /// the other side did not answer in time
    Silent,
    /// the other side closed the link
    Closed,
    /// this process was suspended
    Suspended,
    /// the queue overflowed, or the other side is no longer a leaf of this entry
    Ended,
    /// a leaf connected to an entry that is not a relay
    NotRelay,
}

impl std::error::Error for LinkError {}

impl From<tungstenite::Error> for LinkError {
    fn from(e: tungstenite::Error) -> Self {
        Self::Socket(Box::new(e))
    }
}

impl From<peer::Error> for LinkError {
    fn from(e: peer::Error) -> Self {
        Self::Frame(e)
    }
}

/// Role of this entry on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Side {
    /// Opened it to another entry of the mesh: sends updates and heartbeats.
    Sender,
    /// Accepted it from another entry of the mesh: receives updates and answers heartbeats.
    Receiver,
    /// Opened it as a leaf: sends its own updates and receives those of all others.
    Leaf,
    /// Accepted it from a leaf.
    Relay,
}

impl Side {
    /// Returns the shortest interval between two frames.
    const fn frame_interval(self, has_leaves: bool) -> time::Duration {
        match self {
            Self::Relay => LEAF_FRAME_INTERVAL,
            Self::Sender if has_leaves => RELAY_FRAME_INTERVAL,
            Self::Sender | Self::Receiver | Self::Leaf => time::Duration::ZERO,
        }
    }
}

/// Opens a link and runs it until it fails; returns the reason.
pub async fn run(
    cx: &sync::Arc<cx::Cx>,
    address: &str,
    is_leaf: bool,
    rx: mpsc::Receiver<peers::Queued>,
) -> LinkError {
    let opened_at = cx.now();
    let socket = match tokio::time::timeout(OPEN_TIMEOUT, open(address)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(e)) => return e,
        Err(_) => return LinkError::Silent,
    };
    let side = if is_leaf { Side::Leaf } else { Side::Sender };
    let session = session::Session::new(sync::Arc::clone(cx), socket, side, Some(rx), opened_at);
    match session.run().await {
        Ok(()) => LinkError::Ended,
        Err(e) => e,
    }
}

async fn open(address: &str) -> Result<Socket, LinkError> {
    let stream = net::TcpStream::connect(address)
        .await
        .map_err(LinkError::Connect)?;
    stream.set_nodelay(true).map_err(LinkError::Connect)?;
    let url = format!("ws://{address}/");
    let config = protocol::WebSocketConfig::default()
        .max_message_size(Some(peer::MAX_FRAME_BYTES))
        .max_frame_size(Some(peer::MAX_FRAME_BYTES));
    let opening = tokio_tungstenite::client_async_with_config(url, stream, Some(config));
    let (socket, _) = opening.await?;
    Ok(socket)
}

/// Accepts links from peers, for as long as the process runs.
pub async fn accept(cx: sync::Arc<cx::Cx>, listener: net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve(sync::Arc::clone(&cx), stream));
            }
            Err(e) => {
                log::emit(&event::Event::AcceptFailed {
                    reason: &e.to_string(),
                });
                tokio::time::sleep(REOPEN_INTERVAL).await;
            }
        }
    }
}

async fn serve(cx: sync::Arc<cx::Cx>, stream: net::TcpStream) {
    let answering = async {
        let opened_at = cx.now();
        stream.set_nodelay(true).map_err(LinkError::Connect)?;
        match accept_socket(stream, max_message_bytes(&cx)).await? {
            (socket, Some(server)) => {
                tunnel::serve(&cx, socket, &server).await;
                Ok(())
            }
            (socket, None) => {
                let side = Side::Receiver;
                let session = session::Session::new(cx, socket, side, None, opened_at);
                session.run().await.and(Err(LinkError::Ended))
            }
        }
    };
    if let Err(reason) = answering.await {
        log::emit(&event::Event::LinkLost {
            address: "inbound",
            reason: &reason.to_string(),
        });
    }
}

/// Returns the size of the largest message of a peer, in bytes: a frame of a link, or a request that
/// an entry of an earlier version sends through a tunnel in one message.
fn max_message_bytes(cx: &cx::Cx) -> usize {
    let limits = cx.routes().and_then(|routes| routes.limits);
    let body = limits.map_or(exchange::DEFAULT_MAX_BODY_BYTES, |limits| {
        limits.max_body_bytes
    });
    body.saturating_add(MAX_HEAD_BYTES)
        .max(peer::MAX_FRAME_BYTES)
}

/// Accepts a connection of a peer; returns the server to which it wants a tunnel, if it wants one
/// instead of a link.
#[expect(
    clippy::result_large_err,
    reason = "the WebSocket library sets the type of the closure"
)]
async fn accept_socket(
    stream: net::TcpStream,
    max_message_bytes: usize,
) -> Result<(Socket, Option<ids::BackendServerId>), LinkError> {
    let mut server = None;
    let on_request = |req: &server::Request, res: server::Response| {
        if req.uri().path() == wire_tunnel::PATH {
            let name = req.headers().get(wire_tunnel::SERVER_HEADER);
            let name = name.and_then(|name| name.to_str().ok());
            server = Some(name.unwrap_or_default().to_owned());
        }
        Ok(res)
    };
    let config = Some(tunnel::config(max_message_bytes));
    let accepting = tokio_tungstenite::accept_hdr_async_with_config(stream, on_request, config);
    let accepting = tokio::time::timeout(OPEN_TIMEOUT, accepting);
    let socket = accepting.await.map_err(|_| LinkError::Silent)??;
    Ok((socket, server))
}

async fn send(socket: &mut Socket, messages: &[forward::Message]) -> Result<(), LinkError> {
    for messages in messages.chunks(MAX_FRAME_MESSAGES) {
        let buf = forward::encode(messages)?;
        let sending = socket.send(tungstenite::Message::binary(buf));
        match tokio::time::timeout(SEND_TIMEOUT, sending).await {
            Ok(sent) => sent?,
            Err(_) => return Err(LinkError::Silent),
        }
    }
    Ok(())
}

/// Asks the other side for a reply that states `now`: every WebSocket endpoint replies to a ping with
/// the same payload.
async fn ping(socket: &mut Socket, now: ids::Timestamp) -> Result<(), LinkError> {
    let payload = forward::micros(now).to_be_bytes().to_vec();
    let feeding = socket.feed(tungstenite::Message::Ping(payload.into()));
    let fed = tokio::time::timeout(SEND_TIMEOUT, feeding).await;
    Ok(fed.map_err(|_| LinkError::Silent)??)
}

/// What arrives on a link.
enum Received {
    Messages(Vec<forward::Message>),
    /// Reply to a ping that was sent at this time.
    Reply(ids::Timestamp),
    Nothing,
}

async fn receive(socket: &mut Socket) -> Result<Received, LinkError> {
    match socket.next().await {
        None | Some(Ok(tungstenite::Message::Close(_))) => Err(LinkError::Closed),
        Some(Ok(tungstenite::Message::Binary(buf))) => {
            Ok(Received::Messages(forward::decode(&buf)?))
        }
        Some(Ok(tungstenite::Message::Pong(payload))) => {
            let asked_at_us = <[u8; 8]>::try_from(payload.as_ref()).map(u64::from_be_bytes);
            Ok(asked_at_us.map_or(Received::Nothing, |us| {
                Received::Reply(forward::timestamp(us))
            }))
        }
        Some(Ok(_)) => Ok(Received::Nothing),
        Some(Err(e)) => Err(e.into()),
    }
}

/// Returns an age in milliseconds for the wire, rounded up so that nothing appears younger than it
/// is.
fn age_ms(age: time::Duration) -> u64 {
    u64::try_from(age.as_millis())
        .unwrap_or(u64::MAX)
        .saturating_add(1)
}

/// Returns the time that lies an age received on a link before `now`.
const fn before(now: ids::Timestamp, age_ms: u64) -> ids::Timestamp {
    now.saturating_sub(time::Duration::from_millis(age_ms))
}
