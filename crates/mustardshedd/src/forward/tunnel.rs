//! Tunnels: connections to servers through a peer, carried by a WebSocket connection to it.
//!
//! A reset of the server's connection stays one at the other end of the tunnel, and so does the end
//! of the peer's process: a response without a length is complete only if the server closed the
//! connection itself.

use std::{io, pin};

use bytes::Bytes;
use futures_util::{Sink, SinkExt, Stream, StreamExt, stream};
use mustardshed::wire::forward::tunnel as wire;
use tokio::net;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, client::IntoClientRequest, protocol},
};
use tokio_util::io as io_util;

use crate::forward::{dial, upstream};

mod server;

pub use server::serve;

/// Size of the read buffer of a tunnel, in bytes.
const BUF_BYTES: usize = 8 * 1024;
/// Largest message from the end that is connected to the server, in bytes.
const MAX_RESPONSE_MESSAGE_BYTES: usize = 1024 * 1024;

type Socket = WebSocketStream<net::TcpStream>;
type Incoming = pin::Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;
type Outgoing = pin::Pin<Box<dyn Sink<Bytes, Error = io::Error> + Send>>;

/// Returns the WebSocket settings of connections that peers open, for messages of at most
/// `max_message_bytes` bytes.
#[must_use]
pub fn config(max_message_bytes: usize) -> protocol::WebSocketConfig {
    protocol::WebSocketConfig::default()
        .read_buffer_size(BUF_BYTES)
        .max_message_size(Some(max_message_bytes))
        .max_frame_size(Some(max_message_bytes))
}

/// Opens a tunnel to a server through the peer at an address.
///
/// # Errors
///
/// Returns why the peer gives no connection.
pub async fn open(peer: &str, server: &str) -> Result<impl upstream::Io + use<>, dial::Failure> {
    let mut socket = open_socket(peer, server)
        .await
        .map_err(|e| dial::Failure::NoPeer(e.to_string()))?;
    match read_reply(&mut socket).await? {
        wire::Reply::Connected => Ok(into_io(socket)),
        wire::Reply::Refused => Err(dial::Failure::Refused),
        wire::Reply::Unreachable => Err(dial::Failure::Unreachable(
            "a peer cannot connect either".to_owned(),
        )),
        wire::Reply::Unavailable => Err(dial::Failure::Unavailable),
    }
}

async fn open_socket(peer: &str, server: &str) -> Result<Socket, tungstenite::Error> {
    let stream = net::TcpStream::connect(peer).await?;
    upstream::configure_socket(&stream)?;
    let mut req = format!("ws://{peer}{}", wire::PATH).into_client_request()?;
    let server = http::HeaderValue::from_str(server).map_err(http::Error::from)?;
    req.headers_mut().insert(wire::SERVER_HEADER, server);
    let config = Some(config(MAX_RESPONSE_MESSAGE_BYTES));
    let opened = tokio_tungstenite::client_async_with_config(req, stream, config);
    Ok(opened.await?.0)
}

async fn read_reply(socket: &mut Socket) -> Result<wire::Reply, dial::Failure> {
    let no_peer = |reason: String| dial::Failure::NoPeer(reason);
    match socket.next().await {
        Some(Ok(tungstenite::Message::Binary(buf))) => {
            wire::Reply::decode(&buf).map_err(|e| no_peer(e.to_string()))
        }
        Some(Ok(_)) | None => Err(no_peer("closed without a reply".to_owned())),
        Some(Err(e)) => Err(no_peer(e.to_string())),
    }
}

/// Returns the bytes that a tunnel carries.
fn into_io(socket: Socket) -> impl upstream::Io {
    let (tx, rx) = socket.split();
    let incoming: Incoming = Box::pin(stream::try_unfold(rx, |mut rx| async move {
        Ok(next_bytes(&mut rx).await?.map(|buf| (buf, rx)))
    }));
    let tx = tx.sink_map_err(io::Error::other);
    let outgoing: Outgoing =
        Box::pin(tx.with(|buf: Bytes| async { Ok(tungstenite::Message::binary(buf)) }));
    tokio::io::join(
        io_util::StreamReader::new(incoming),
        io_util::SinkWriter::new(io_util::CopyToBytes::new(outgoing)),
    )
}

/// Returns the next bytes from the other side; none if the server has closed the connection.
async fn next_bytes(rx: &mut stream::SplitStream<Socket>) -> io::Result<Option<Bytes>> {
    loop {
        match rx.next().await {
            Some(Ok(tungstenite::Message::Binary(buf))) => return Ok(Some(buf)),
            Some(Ok(tungstenite::Message::Close(Some(frame))))
                if frame.code == protocol::frame::coding::CloseCode::Normal =>
            {
                return Ok(None);
            }
            Some(Ok(tungstenite::Message::Close(_))) | None => {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            Some(Ok(_)) => {}
            Some(Err(e)) => {
                return Err(io::Error::new(io::ErrorKind::ConnectionAborted, e));
            }
        }
    }
}
