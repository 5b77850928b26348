//! The end of a tunnel that is connected to the server.

use std::{
    sync::{self, atomic},
    time,
};

use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt, stream};
use mustardshed::wire::forward::tunnel as wire;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{self, tcp},
};
use tokio_tungstenite::tungstenite::{self, protocol};

use crate::{
    forward::{
        cx, dial, memory,
        tunnel::{BUF_BYTES, Socket},
    },
    log::{self, event},
};

/// Time for which the peer may leave sent bytes unread: its client may read slowly.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(15);
/// Most tunnels that are open at the same time, so that this entry keeps sockets and memory for its
/// own requests.
const MAX_TUNNELS: usize = 512;

type Tx = stream::SplitSink<Socket, tungstenite::Message>;
type Rx = stream::SplitStream<Socket>;

/// Serves a tunnel that a peer has opened to a server, until either side ends.
pub async fn serve(cx: &sync::Arc<cx::Cx>, mut socket: Socket, server: &str) {
    let _guard = cx.begin_tunnel();
    let memory = memory::Held::take(&cx.memory, memory::REQUEST_BYTES);
    let connected = match &memory {
        Ok(_) => connect(cx, server).await,
        Err(memory::Exhausted) => Err(wire::Reply::Unavailable),
    };
    let reply = connected.as_ref().err();
    let reply = *reply.unwrap_or(&wire::Reply::Connected);
    cx.metrics.tunnel(reply);
    if let Err(e) = send_reply(&mut socket, reply).await {
        return log_end(server, &e);
    }
    if let Ok(stream) = connected {
        pass_on(socket, stream, server).await;
    }
}

async fn connect(cx: &sync::Arc<cx::Cx>, server: &str) -> Result<net::TcpStream, wire::Reply> {
    let now = cx.now();
    if cx.is_draining() || cx.tunnels() > MAX_TUNNELS {
        return Err(wire::Reply::Unavailable);
    }
    let address = {
        let state = cx.state();
        let server = state.view.usable(server, now);
        server.map(|server| server.address.clone())
    };
    let address = address.ok_or(wire::Reply::Unavailable)?;
    let stream = dial::connect_for_peer(cx, server, &address).await?;
    // The server may have left, or its data centre been taken out, while the connection was opened.
    let is_usable = cx.state().view.usable(server, cx.now()).is_some();
    is_usable.then_some(stream).ok_or(wire::Reply::Unavailable)
}

async fn send_reply(socket: &mut Socket, reply: wire::Reply) -> Result<(), String> {
    let buf = reply.encode().map_err(|e| e.to_string())?;
    let sent = socket.send(tungstenite::Message::binary(buf)).await;
    sent.map_err(|e| e.to_string())
}

/// Passes bytes on in both directions.
async fn pass_on(socket: Socket, stream: net::TcpStream, server: &str) {
    let (mut tx, rx) = socket.split();
    let (from_server, to_server) = stream.into_split();
    let is_unwritten = atomic::AtomicBool::new(false);
    let end = tokio::select! {
        end = pass_responses(from_server, &mut tx) => end,
        // The peer no longer wants the response; dropping the connection tells the server.
        () = pass_requests(rx, to_server, &is_unwritten) => return,
    };
    // A reset is reported once: after a write has got it, reading ends as if the server had closed
    // the connection. A server that ends while a write waits for it has not read the request.
    let end = match end {
        Ok(()) if is_unwritten.into_inner() => Err("the server reads no more".to_owned()),
        end => end,
    };
    let code = match &end {
        Ok(()) => protocol::frame::coding::CloseCode::Normal,
        Err(e) => {
            log_end(server, e);
            protocol::frame::coding::CloseCode::Error
        }
    };
    let frame = protocol::CloseFrame {
        code,
        reason: "".into(),
    };
    let closing = send(&mut tx, tungstenite::Message::Close(Some(frame)));
    if let Err(e) = closing.await {
        log_end(server, &e);
    }
}

/// Passes bytes on to the peer until the server closes its connection.
async fn pass_responses(mut rx: tcp::OwnedReadHalf, tx: &mut Tx) -> Result<(), String> {
    let mut buf = BytesMut::with_capacity(BUF_BYTES);
    loop {
        if rx.read_buf(&mut buf).await.map_err(|e| e.to_string())? == 0 {
            return Ok(());
        }
        send(tx, tungstenite::Message::Binary(buf.split().freeze())).await?;
        buf.reserve(BUF_BYTES);
    }
}

async fn send(tx: &mut Tx, message: tungstenite::Message) -> Result<(), String> {
    match tokio::time::timeout(WRITE_TIMEOUT, tx.send(message)).await {
        Ok(sent) => sent.map_err(|e| e.to_string()),
        Err(_) => Err(format!("the peer has read nothing for {WRITE_TIMEOUT:?}")),
    }
}

/// Passes bytes on to the server until the peer leaves; `is_unwritten` is true while a write has not
/// succeeded.
async fn pass_requests(mut rx: Rx, mut tx: tcp::OwnedWriteHalf, is_unwritten: &atomic::AtomicBool) {
    let mut takes_bytes = true;
    while let Some(Ok(message)) = rx.next().await {
        match message {
            // A server that reads no more may have answered before.
            tungstenite::Message::Binary(buf) if takes_bytes => {
                is_unwritten.store(true, atomic::Ordering::Relaxed);
                takes_bytes = tx.write_all(&buf).await.is_ok();
                is_unwritten.store(!takes_bytes, atomic::Ordering::Relaxed);
            }
            tungstenite::Message::Close(_) => return,
            _ => {}
        }
    }
}

fn log_end(server: &str, reason: &str) {
    log::emit(&event::Event::TunnelBroken { server, reason });
}
