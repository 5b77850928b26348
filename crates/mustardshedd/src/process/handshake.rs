//! The start of a link: a WebSocket upgrade, then a hello and a proof each way.

use std::io;

use displaydoc::Display;
use futures_util::{SinkExt, StreamExt};
use mustardshed::{
    core::{ids, process::node},
    wire::peer,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net,
};
use tokio_tungstenite::{WebSocketStream, tungstenite, tungstenite::protocol};

/// An upgraded connection.
pub type Socket<S> = WebSocketStream<S>;

/// Why a link did not come to be.
#[derive(Debug, Display)]
pub enum HandshakeError {
    /// no connection: {0}
    Connect(io::Error),
    /// the WebSocket failed: {0}
    Socket(Box<tungstenite::Error>),
    /// the peer sent what is no hello or proof, or holds another key: {0}
    Peer(peer::Error),
    /// the connection was closed during the handshake
    Closed,
    /// the peer says that it is {0}
    WrongVm(ids::VmId),
}

impl std::error::Error for HandshakeError {}

impl From<tungstenite::Error> for HandshakeError {
    fn from(e: tungstenite::Error) -> Self {
        Self::Socket(Box::new(e))
    }
}

impl From<peer::Error> for HandshakeError {
    fn from(e: peer::Error) -> Self {
        Self::Peer(e)
    }
}

/// Opens a link to `vm` and checks that it is that VM and holds the key.
///
/// # Errors
///
/// Returns an error if there is no connection, or the other side proves no key or is another VM.
pub async fn connect(
    identity: &node::Identity,
    key: &[u8],
    vm: &ids::VmId,
    peer_address: &str,
) -> Result<Socket<net::TcpStream>, HandshakeError> {
    let stream = net::TcpStream::connect(peer_address)
        .await
        .map_err(HandshakeError::Connect)?;
    stream.set_nodelay(true).map_err(HandshakeError::Connect)?;
    let url = format!("ws://{peer_address}/");
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(limits())).await?;
    let theirs = exchange(&mut socket, identity, key).await?;
    if theirs.vm != *vm {
        return Err(HandshakeError::WrongVm(theirs.vm));
    }
    Ok(socket)
}

/// Takes an incoming link and returns it with its sender's hello.
///
/// # Errors
///
/// Returns an error if the connection is no WebSocket, or the other side proves no key.
pub async fn accept(
    identity: &node::Identity,
    key: &[u8],
    stream: net::TcpStream,
) -> Result<(Socket<net::TcpStream>, peer::Hello), HandshakeError> {
    stream.set_nodelay(true).map_err(HandshakeError::Connect)?;
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(limits())).await?;
    let theirs = exchange(&mut socket, identity, key).await?;
    Ok((socket, theirs))
}

/// Bounds every frame and what waits to be written.
fn limits() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .max_message_size(Some(peer::MAX_FRAME_BYTES))
        .max_frame_size(Some(peer::MAX_FRAME_BYTES))
        .max_write_buffer_size(2 * peer::MAX_FRAME_BYTES)
}

/// Returns the size of a binary frame with its header, in bytes.
///
/// Whoever sends over a link is its client, whose frames are masked.
pub const fn frame_bytes(payload: usize) -> usize {
    const MASK_BYTES: usize = 4;
    let header = match payload {
        0..=125 => 2,
        126..=0xffff => 4,
        _ => 10,
    };
    header + MASK_BYTES + payload
}

async fn exchange<S>(
    socket: &mut Socket<S>,
    identity: &node::Identity,
    key: &[u8],
) -> Result<peer::Hello, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let ours = peer::Hello::new(identity.vm.clone(), identity.incarnation, rand::random());
    send(socket, ours.encode()?).await?;
    let theirs = peer::Hello::decode(&receive(socket).await?)?;
    if theirs.vm == identity.vm {
        // Answering one's own hello would let a stranger play the proof back.
        return Err(HandshakeError::WrongVm(theirs.vm));
    }
    let proof = peer::Proof::new(key, &ours, &theirs);
    send(socket, proof.encode()?).await?;
    let their_proof = peer::Proof::decode(&receive(socket).await?)?;
    their_proof.verify(key, &theirs, &ours)?;
    Ok(theirs)
}

async fn send<S>(socket: &mut Socket<S>, buf: Vec<u8>) -> Result<(), HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    socket.send(tungstenite::Message::binary(buf)).await?;
    Ok(())
}

async fn receive<S>(socket: &mut Socket<S>) -> Result<bytes::Bytes, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match socket.next().await {
        Some(Ok(tungstenite::Message::Binary(buf))) => Ok(buf),
        Some(Err(e)) => Err(e.into()),
        _ => Err(HandshakeError::Closed),
    }
}
