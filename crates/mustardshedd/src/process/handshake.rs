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

/// Why a link could not be established.
#[derive(Debug, Display)]
pub enum HandshakeError {
    /// cannot connect: {0}
    Connect(io::Error),
    /// the WebSocket failed: {0}
    Socket(Box<tungstenite::Error>),
    /// the peer sent an invalid hello or proof, or holds another key: {0}
    Peer(peer::Error),
    /// the connection was closed during the handshake
    Closed,
    /// the peer identifies itself as {0}
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
/// Returns an error if there is no connection, or the peer does not prove that it holds the key, or
/// it is another VM.
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

/// Accepts an incoming link and returns it with the hello of the peer.
///
/// # Errors
///
/// Returns an error if the connection is not a WebSocket, or the peer does not prove that it holds
/// the key.
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

/// Limits the size of frames and of the write buffer.
fn limits() -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .max_message_size(Some(peer::MAX_FRAME_BYTES))
        .max_frame_size(Some(peer::MAX_FRAME_BYTES))
        .max_write_buffer_size(2 * peer::MAX_FRAME_BYTES)
}

/// Returns the size of a binary frame with its header, in bytes.
///
/// The sender on a link is its WebSocket client, and clients mask their frames.
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
        // A peer without the key could reflect our hello and then replay our own proof.
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
