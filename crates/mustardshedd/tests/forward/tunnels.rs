//! How a tunnel ends.

use std::{io, net, time};

use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use mustardshed::wire::forward::tunnel as wire;
use mustardshedd::forward::{dial, tunnel};
use tokio::io::AsyncReadExt;
use tokio_tungstenite::tungstenite::{Message, client::IntoClientRequest, protocol};

use crate::{fixture, server};

/// Beginning of a response that ends with its connection.
const BYTES: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nhalf of";

/// Starts a peer that replies to one tunnel, sends some bytes if it is connected, and closes it with
/// this code; without one, its connection just ends.
async fn peer(
    reply: wire::Reply,
    code: Option<protocol::frame::coding::CloseCode>,
) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut socket = tokio_tungstenite::accept_async(stream).await.unwrap();
        let buf = reply.encode().unwrap();
        socket.send(Message::binary(buf)).await.unwrap();
        if reply == wire::Reply::Connected {
            socket.send(Message::binary(BYTES)).await.unwrap();
        }
        if let Some(code) = code {
            let reason = "".into();
            let frame = protocol::CloseFrame { code, reason };
            socket.send(Message::Close(Some(frame))).await.unwrap();
            // Until the other side has answered.
            while socket.next().await.is_some() {}
        }
    });
    address
}

/// Reads what a tunnel carries, and how it ends.
async fn read(address: net::SocketAddr) -> (Vec<u8>, Option<io::ErrorKind>) {
    let mut io = tunnel::open(&address.to_string(), "b1").await.unwrap();
    let mut buf = Vec::new();
    let reading = io.read_to_end(&mut buf);
    let ended = tokio::time::timeout(time::Duration::from_secs(10), reading).await;
    (buf, ended.unwrap().err().map(|e| e.kind()))
}

// Guards against a response without a length that looks complete though the peer was killed, or the
// server's connection reset.
#[gtest]
#[tokio::test]
async fn only_an_end_by_the_server_ends_a_tunnel_without_an_error() -> Result<()> {
    use protocol::frame::coding::CloseCode;
    let connected = wire::Reply::Connected;

    let closed = read(peer(connected, Some(CloseCode::Normal)).await).await;
    let reset = read(peer(connected, Some(CloseCode::Error)).await).await;
    let away = read(peer(connected, Some(CloseCode::Away)).await).await;
    let killed = read(peer(connected, None).await).await;

    expect_that!(closed, eq(&(BYTES.to_vec(), None)));
    let broken = |kind| (BYTES.to_vec(), Some(kind));
    expect_that!(reset, eq(&broken(io::ErrorKind::ConnectionReset)));
    expect_that!(away, eq(&broken(io::ErrorKind::ConnectionReset)));
    expect_that!(killed.0, eq(BYTES));
    verify_that!(killed.1, some(anything()))
}

#[gtest]
#[tokio::test]
async fn replies_of_a_peer_tell_refusals_from_silence() -> Result<()> {
    let mut failures = Vec::new();
    for reply in [
        wire::Reply::Refused,
        wire::Reply::Unreachable,
        wire::Reply::Unavailable,
    ] {
        let address = peer(reply, None).await.to_string();
        failures.push(tunnel::open(&address, "b1").await.err());
    }

    verify_that!(
        failures,
        elements_are![
            some(matches_pattern!(dial::Failure::Refused)),
            some(matches_pattern!(dial::Failure::Unreachable(_))),
            some(matches_pattern!(dial::Failure::Unavailable)),
        ]
    )
}

// Guards against requests that entries of earlier versions send through a tunnel in one message.
#[gtest]
#[tokio::test]
async fn request_in_a_single_message_arrives_whole() -> Result<()> {
    const BODY_BYTES: usize = 1_500_000;
    let server = server::Server::bind("i-1").await;
    let f = fixture::Fixture::with(&[&server]).await;
    let entry = f.entry("entry-1").await.ready().await;
    let peers = entry.cx.settings.peers;
    let mut req = format!("ws://{peers}{}", wire::PATH)
        .into_client_request()
        .unwrap();
    let name = http::HeaderValue::from_static("i-1");
    req.headers_mut().insert(wire::SERVER_HEADER, name);
    let (mut socket, _) = tokio_tungstenite::connect_async(req).await.unwrap();

    let reply = socket.next().await.unwrap().unwrap().into_data();
    let head = format!("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let message = [head.into_bytes(), vec![b'x'; BODY_BYTES]].concat();
    socket.send(Message::binary(message)).await.unwrap();
    let response = socket.next().await.unwrap().unwrap().into_data();

    expect_that!(
        wire::Reply::decode(&reply).ok(),
        some(eq(wire::Reply::Connected))
    );
    expect_that!(response.starts_with(b"HTTP/1.1 200"), eq(true));
    verify_that!(server.got()[0].body.len(), eq(BODY_BYTES))
}
